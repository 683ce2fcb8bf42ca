package org.cicadahead.caller;

import java.nio.ByteBuffer;
import org.cicadahead.model.RefusalReason;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/**
 * Responds to requests that Jetty rejects because they are not valid HTTP, or for which it reports an error. Malformed
 * requests never reach the service, so they have not run.
 */
final class MalformedRequestHandler extends ErrorHandler {
    private final CallerService service;

    MalformedRequestHandler(CallerService service) {
        this.service = service;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        boolean malformed = HttpStatus.isClientError(response.getStatus());
        Refusal refusal = malformed
                ? Refusal.before(RefusalReason.REQUEST_MALFORMED, "The request is not valid HTTP")
                : Refusal.of(RefusalReason.INTERNAL_ERROR, false, "");
        service.countRefusal(refusal);
        response.setStatus(refusal.reason().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, ProblemDocuments.CONTENT_TYPE);
        response.write(true, ByteBuffer.wrap(ProblemDocuments.document(refusal)), callback);
        return true;
    }
}
