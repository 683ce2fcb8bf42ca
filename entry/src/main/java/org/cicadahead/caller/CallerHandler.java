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

/** Passes the HTTP requests of callers to the service. */
final class CallerHandler extends Handler.Abstract.NonBlocking {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");

    private final CallerService service;
    private final long maxBodyBytes;
    private final AtomicInteger openRequests = new AtomicInteger();

    CallerHandler(CallerService service, long maxBodyBytes) {
        this.service = service;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the number of requests whose response has not been sent completely. */
    int openRequests() {
        return openRequests.get();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        RequestId id = RequestId.of(UUID.randomUUID().toString());
        openRequests.incrementAndGet();
        JettyCallerResponse callerResponse =
                new JettyCallerResponse(id, response, Callback.from(callback, openRequests::decrementAndGet), service);
        request.addFailureListener(callerResponse::connectionLost);
        // The deadline of the route limits the duration of a request, so the idle timeout does not end it. Pending
        // reads and writes still time out.
        request.addIdleTimeoutListener(timeout -> false);
        RequestParser parser = new RequestParser(request.getMethod(), request.getHttpURI(), request.getHeaders());
        try {
            // Checks the request line and the headers before the body is read.
            parser.parse(id, new byte[0]);
        } catch (RefusalException e) {
            if (request.getLength() != 0) {
                // Jetty closes the connection if the request body was not read, so the caller is told not to reuse it.
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
            }
            callerResponse.refuse(e.refusal());
            return true;
        }
        RequestBodyReader.read(request, maxBodyBytes).whenComplete((body, failure) -> {
            if (failure != null) {
                callerResponse.refuse(refusal(failure));
            } else {
                serve(parser, id, body, callerResponse);
            }
        });
        return true;
    }

    private void serve(RequestParser parser, RequestId id, byte[] body, CallerResponse callerResponse) {
        try {
            service.serve(parser.parse(id, body), callerResponse);
        } catch (RefusalException e) {
            callerResponse.refuse(e.refusal());
        }
    }

    private static Refusal refusal(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof RefusalException refused) {
            return refused.refusal();
        }
        LOG.errorf(cause, "entry: Failed to read a request body");
        return Refusal.before(RefusalReason.INTERNAL_ERROR, "");
    }
}
