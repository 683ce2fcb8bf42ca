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
 * Writes an answer to a Jetty response. Writes are queued, one at a time under way; the lock is a leaf and is not held
 * while Jetty is called.
 */
final class JettyAnswer implements CallerAnswer {
    /** A caller that leaves this many chunks unread is too slow. */
    static final int MAX_BUFFERED_CHUNKS = 64;

    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final RequestId id;
    private final Response response;
    private final Callback callback;
    private final CallerService service;
    private final Object lock = new Object();
    /** Jetty's callback takes one call only, whichever of the last write and the loss comes first. */
    private final AtomicBoolean released = new AtomicBoolean();

    private final Deque<Write> queue = new ArrayDeque<>();
    private boolean started;
    private boolean ended;
    private boolean writing;
    private boolean gone;
    private Runnable onGone;

    private record Write(byte[] bytes, boolean last) {}

    JettyAnswer(RequestId id, Response response, Callback callback, CallerService service) {
        this.id = id;
        this.response = response;
        this.callback = callback;
        this.service = service;
    }

    @Override
    public void refuse(Refusal refusal) {
        boolean stream;
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            stream = started || gone;
            if (stream) {
                queue.add(new Write(Problems.event(refusal), true));
            }
        }
        service.refused(refusal);
        if (stream) {
            drain();
            return;
        }
        response.setStatus(refusal.reason().status());
        header(HttpHeader.CONTENT_TYPE.asString(), Problems.CONTENT_TYPE);
        if (refusal.retryAfterSeconds() > 0) {
            header(HttpHeader.RETRY_AFTER.asString(), Long.toString(refusal.retryAfterSeconds()));
        }
        writeAll(Problems.document(refusal));
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
        headers.forEach(this::header);
        writeAll(body);
    }

    @Override
    public boolean stream(Map<String, String> headers, byte[] events) {
        synchronized (lock) {
            if (ended || gone) {
                return true;
            }
            if (queue.size() >= MAX_BUFFERED_CHUNKS) {
                return false;
            }
            if (!started) {
                started = true;
                response.setStatus(200);
                headers.forEach(this::header);
                header("Cicadahead-Request", id.value());
                header(HttpHeader.CONTENT_TYPE.asString(), "text/event-stream");
                header(HttpHeader.CACHE_CONTROL.asString(), "no-store");
            }
            queue.add(new Write(events, false));
        }
        drain();
        return true;
    }

    @Override
    public void done() {
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            queue.add(new Write(DONE_EVENT, true));
        }
        drain();
    }

    @Override
    public boolean isStarted() {
        synchronized (lock) {
            return started;
        }
    }

    @Override
    public void onGone(Runnable action) {
        synchronized (lock) {
            if (!gone) {
                onGone = action;
                return;
            }
        }
        action.run();
    }

    /** Takes note that the caller is gone. */
    void lost(Throwable cause) {
        Runnable action;
        synchronized (lock) {
            if (gone) {
                return;
            }
            gone = true;
            action = onGone;
            queue.clear();
        }
        if (action != null) {
            action.run();
        }
        if (released.compareAndSet(false, true)) {
            callback.failed(cause);
        }
    }

    private void succeeded() {
        if (released.compareAndSet(false, true)) {
            callback.succeeded();
        }
    }

    private void header(String name, String value) {
        response.getHeaders().put(name, value);
    }

    private void writeAll(byte[] body) {
        header("Cicadahead-Request", id.value());
        header(HttpHeader.CONTENT_LENGTH.asString(), Integer.toString(body.length));
        response.write(true, ByteBuffer.wrap(body), Callback.from(this::succeeded, this::lost));
    }

    private void drain() {
        Write next;
        synchronized (lock) {
            if (writing || gone || queue.isEmpty()) {
                return;
            }
            writing = true;
            next = queue.poll();
        }
        response.write(next.last(), ByteBuffer.wrap(next.bytes()), Callback.from(() -> written(next), this::lost));
    }

    private void written(Write write) {
        synchronized (lock) {
            writing = false;
        }
        if (write.last()) {
            succeeded();
        } else {
            drain();
        }
    }
}
