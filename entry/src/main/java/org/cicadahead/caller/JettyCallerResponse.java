package org.cicadahead.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadahead.model.RequestId;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the response of a request through Jetty. Writes are queued and issued one at a time. Neither Jetty nor other
 * code is called while the lock is held.
 */
final class JettyCallerResponse implements CallerResponse {
    /**
     * Maximum number of queued writes. When it is reached, further events are rejected: the caller reads too slowly.
     */
    static final int MAX_PENDING_WRITES = 64;

    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final RequestId id;
    private final Response response;
    private final Callback callback;
    private final CallerService service;
    private final Object lock = new Object();
    /**
     * Whether Jetty's callback was called. It must be called only once: after the last write or on the loss of the
     * connection, whichever comes first.
     */
    private final AtomicBoolean callbackCalled = new AtomicBoolean();

    private final Deque<Write> pendingWrites = new ArrayDeque<>();
    private boolean started;
    private boolean ended;
    private boolean writing;
    private boolean disconnected;
    private Runnable onDisconnect;

    private record Write(byte[] bytes, boolean last) {}

    JettyCallerResponse(RequestId id, Response response, Callback callback, CallerService service) {
        this.id = id;
        this.response = response;
        this.callback = callback;
        this.service = service;
    }

    @Override
    public void refuse(Refusal refusal) {
        boolean streaming;
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            streaming = started || disconnected;
            if (streaming) {
                pendingWrites.add(new Write(ProblemDocuments.event(refusal), true));
            }
        }
        service.countRefusal(refusal);
        if (streaming) {
            writeNext();
            return;
        }
        response.setStatus(refusal.reason().status());
        setHeader(HttpHeader.CONTENT_TYPE.asString(), ProblemDocuments.CONTENT_TYPE);
        if (refusal.retryAfterSeconds() > 0) {
            setHeader(HttpHeader.RETRY_AFTER.asString(), Long.toString(refusal.retryAfterSeconds()));
        }
        writeBody(ProblemDocuments.document(refusal));
    }

    @Override
    public void complete(int status, Map<String, String> headers, byte[] body) {
        synchronized (lock) {
            if (ended || started) {
                return;
            }
            ended = true;
        }
        response.setStatus(status);
        headers.forEach(this::setHeader);
        writeBody(body);
    }

    @Override
    public boolean stream(Map<String, String> headers, byte[] events) {
        synchronized (lock) {
            if (ended || disconnected) {
                return true;
            }
            if (pendingWrites.size() >= MAX_PENDING_WRITES) {
                return false;
            }
            if (!started) {
                started = true;
                response.setStatus(200);
                headers.forEach(this::setHeader);
                setHeader("Cicadahead-Request", id.value());
                setHeader(HttpHeader.CONTENT_TYPE.asString(), "text/event-stream");
                setHeader(HttpHeader.CACHE_CONTROL.asString(), "no-store");
                // On a connection that is to be closed, Jetty would let the end of the connection end the body, so that
                // a stream that breaks off would look complete.
                setHeader(HttpHeader.TRANSFER_ENCODING.asString(), "chunked");
            }
            pendingWrites.add(new Write(events, false));
        }
        writeNext();
        return true;
    }

    @Override
    public void finishStream() {
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            pendingWrites.add(new Write(DONE_EVENT, true));
        }
        writeNext();
    }

    @Override
    public boolean isStarted() {
        synchronized (lock) {
            return started;
        }
    }

    @Override
    public void onDisconnect(Runnable action) {
        synchronized (lock) {
            if (!disconnected) {
                onDisconnect = action;
                return;
            }
        }
        action.run();
    }

    /** Handles the loss of the connection to the caller. */
    void connectionLost(Throwable cause) {
        Runnable action;
        synchronized (lock) {
            if (disconnected) {
                return;
            }
            disconnected = true;
            action = onDisconnect;
            pendingWrites.clear();
        }
        if (action != null) {
            action.run();
        }
        if (callbackCalled.compareAndSet(false, true)) {
            callback.failed(cause);
        }
    }

    private void completeCallback() {
        if (callbackCalled.compareAndSet(false, true)) {
            callback.succeeded();
        }
    }

    private void setHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    private void writeBody(byte[] body) {
        setHeader("Cicadahead-Request", id.value());
        setHeader(HttpHeader.CONTENT_LENGTH.asString(), Integer.toString(body.length));
        response.write(true, ByteBuffer.wrap(body), Callback.from(this::completeCallback, this::connectionLost));
    }

    private void writeNext() {
        Write next;
        synchronized (lock) {
            if (writing || disconnected || pendingWrites.isEmpty()) {
                return;
            }
            writing = true;
            next = pendingWrites.poll();
        }
        response.write(
                next.last(), ByteBuffer.wrap(next.bytes()), Callback.from(() -> written(next), this::connectionLost));
    }

    private void written(Write write) {
        synchronized (lock) {
            writing = false;
        }
        if (write.last()) {
            completeCallback();
        } else {
            writeNext();
        }
    }
}
