package org.cicadahead.caller;

import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RequestId;
import org.eclipse.jetty.http.HttpHeader;
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
    private final AtomicInteger open = new AtomicInteger();

    CallerHandler(CallerService service, long maxBodyBytes) {
        this.service = service;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns how many requests have not been answered to the last byte. */
    int open() {
        return open.get();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        RequestId id = RequestId.of(UUID.randomUUID().toString());
        open.incrementAndGet();
        JettyAnswer answer = new JettyAnswer(id, response, Callback.from(callback, open::decrementAndGet), service);
        request.addFailureListener(answer::lost);
        // The deadline of the route limits a request; a pending read or write still times out.
        request.addIdleTimeoutListener(timeout -> false);
        RequestParser parser = new RequestParser(request.getMethod(), request.getHttpURI(), request.getHeaders());
        try {
            parser.parse(id, new byte[0]);
        } catch (RefusalException e) {
            if (request.getLength() != 0) {
                // Jetty closes a connection whose request was not read, and a caller must not send more on it.
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
            }
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
