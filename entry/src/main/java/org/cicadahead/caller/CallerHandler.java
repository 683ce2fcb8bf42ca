package org.cicadahead.caller;

import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RequestId;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jboss.logging.Logger;

/** Hands the requests of callers to the service. */
final class CallerHandler extends Handler.Abstract.NonBlocking {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");

    private final CallerService service;
    private final long maxBodyBytes;

    CallerHandler(CallerService service, long maxBodyBytes) {
        this.service = service;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        RequestId id = RequestId.of(UUID.randomUUID().toString());
        JettyAnswer answer = new JettyAnswer(id, response, callback, service);
        request.addFailureListener(answer::lost);
        RequestParser parser = new RequestParser(request.getMethod(), request.getHttpURI(), request.getHeaders());
        try {
            parser.parse(id, new byte[0]);
        } catch (RefusalException e) {
            answer.refuse(e.refusal());
            return true;
        }
        BodyReader.read(request, maxBodyBytes).whenComplete((body, failure) -> {
            if (failure != null) {
                answer.refuse(refusal(failure));
            } else {
                serve(parser, id, body, answer);
            }
        });
        return true;
    }

    private void serve(RequestParser parser, RequestId id, byte[] body, CallerAnswer answer) {
        try {
            service.serve(parser.parse(id, body), answer);
        } catch (RefusalException e) {
            answer.refuse(e.refusal());
        }
    }

    private static Refusal refusal(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof RefusalException refused) {
            return refused.refusal();
        }
        LOG.errorf(cause, "entry: A request body could not be read");
        return Refusal.before(RefusalReason.INTERNAL_ERROR, "");
    }
}
