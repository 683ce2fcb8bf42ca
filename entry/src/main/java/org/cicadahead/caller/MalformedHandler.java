package org.cicadahead.caller;

import java.nio.ByteBuffer;
import org.cicadahead.model.RefusalReason;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/** Answers requests that Jetty itself refuses, as they are not valid HTTP. Nothing of them has run. */
final class MalformedHandler extends ErrorHandler {
    private final CallerService service;

    MalformedHandler(CallerService service) {
        this.service = service;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        boolean malformed = HttpStatus.isClientError(response.getStatus());
        Refusal refusal = malformed
                ? Refusal.before(RefusalReason.REQUEST_MALFORMED, "The request is not valid HTTP")
                : Refusal.of(RefusalReason.INTERNAL_ERROR, false, "");
        service.refused(refusal);
        response.setStatus(refusal.reason().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, Problems.CONTENT_TYPE);
        response.write(true, ByteBuffer.wrap(Problems.document(refusal)), callback);
        return true;
    }
}
