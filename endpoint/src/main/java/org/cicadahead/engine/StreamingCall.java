package org.cicadahead.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.Usage;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.jboss.logging.Logger;

/**
 * One run on an engine, over as many connections as it takes. The lock is a leaf; the listener is called without it, by
 * one thread at a time, as each attempt begins only after the one before has ended.
 */
final class StreamingCall implements EngineCall {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    /** Attempts to resume without any progress. */
    private static final int MAX_RESUMES = 3;

    private static final long RESUME_DELAY_MILLIS = 50;
    private static final int OK = 200;
    /** An answer that is not a stream is held in memory up to this size. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final EngineClient client;
    private final RunId run;
    private final boolean stream;
    private final EngineListener listener;
    private final long deadlineNanos;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream(0);
    private Request current;
    private boolean over;
    private volatile boolean sent;
    private volatile long lastProgressNanos = System.nanoTime();
    private volatile EngineException problem;
    private int resumes;
    private long eventsAtResume = -1;

    StreamingCall(EngineClient client, EngineRun run, EngineListener listener) {
        this.client = client;
        this.run = run.run();
        this.stream = run.stream();
        this.listener = listener;
        this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(run.timeoutMillis());
    }

    void start(SplicedBody body) {
        send(client.request("/v1/chat/completions").method(HttpMethod.POST).body(body));
    }

    @Override
    public void cancel() {
        Request request;
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
            request = current;
        }
        client.cancel(run);
        if (request != null) {
            request.abort(new EngineException(EngineException.Kind.LOST, "cancelled", null));
        }
    }

    @Override
    public void giveUp(String text) {
        Request request;
        synchronized (this) {
            if (over) {
                return;
            }
            request = current;
        }
        problem = new EngineException(EngineException.Kind.TIMEOUT, text, null);
        client.cancel(run);
        if (request != null) {
            request.abort(problem);
        }
    }

    @Override
    public long lastProgressNanos() {
        return lastProgressNanos;
    }

    private void send(Request request) {
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        synchronized (this) {
            if (over) {
                return;
            }
            current = request;
        }
        if (leftMillis <= 0) {
            fail(new EngineException(EngineException.Kind.TIMEOUT, "the deadline has passed", null));
            return;
        }
        splitter.reset();
        request.timeout(leftMillis, TimeUnit.MILLISECONDS)
                .onRequestBegin(r -> sent = true)
                .onResponseContentAsync(this::content)
                .send(this::attemptEnded);
    }

    private void content(Response response, Content.Chunk chunk, Runnable demander) {
        lastProgressNanos = System.nanoTime();
        long pauseMillis = 0;
        try {
            pauseMillis = isStream(response) ? events(chunk.getByteBuffer()) : body(chunk.getByteBuffer());
        } catch (EngineException e) {
            problem = e;
            response.abort(e);
        }
        if (pauseMillis > 0) {
            client.later(demander, pauseMillis);
        } else {
            demander.run();
        }
    }

    private long events(ByteBuffer bytes) throws EngineException {
        byte[] events = splitter.feed(bytes);
        return events.length == 0 || isOver() ? 0 : listener.data(events, splitter.lastEvents());
    }

    private long body(ByteBuffer bytes) throws EngineException {
        if (whole.size() + bytes.remaining() > MAX_BODY_BYTES) {
            throw new EngineException(EngineException.Kind.MALFORMED, "the answer is too long", null);
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        whole.writeBytes(copy);
        return 0;
    }

    private void attemptEnded(Result result) {
        if (isOver()) {
            return;
        }
        Response response = result.getResponse();
        boolean resuming = eventsAtResume >= 0;
        if (result.isSucceeded() && response.getStatus() == OK && isStream(response)) {
            if (splitter.complete()) {
                end(response, EngineBodies.usage(splitter.usageEvent()));
            } else {
                resume(new EngineException(EngineException.Kind.LOST, "the stream ended early", null));
            }
        } else if (result.isSucceeded() && resuming) {
            fail(new EngineException(EngineException.Kind.LOST, "the stream cannot be resumed", null));
        } else if (result.isSucceeded()) {
            byte[] answer = whole.toByteArray();
            if (answer.length > 0) {
                listener.data(answer, 0);
            }
            end(response, response.getStatus() == OK ? EngineBodies.usage(answer) : null);
        } else if (!sent) {
            fail(new EngineException(
                    EngineException.Kind.NOT_SENT, "the engine is not reachable", result.getFailure()));
        } else if (problem != null) {
            fail(problem);
        } else if (stream) {
            resume(lost(result.getFailure()));
        } else {
            fail(lost(result.getFailure()));
        }
    }

    /** A refused connection on an attempt to resume does not mean that the run was not sent: the engine has crashed. */
    private EngineException lost(Throwable failure) {
        EngineException cause = client.translate("the connection was lost", failure);
        return cause.kind() == EngineException.Kind.NOT_SENT
                ? new EngineException(EngineException.Kind.LOST, "the connection was lost", failure)
                : cause;
    }

    /** Asks for the rest of the stream; the engine keeps it for some seconds after a connection is lost. */
    private void resume(EngineException cause) {
        if (cause.kind() == EngineException.Kind.TIMEOUT) {
            client.cancel(run);
            fail(cause);
            return;
        }
        if (splitter.total() > eventsAtResume) {
            resumes = 0;
        }
        if (resumes >= MAX_RESUMES) {
            fail(cause);
            return;
        }
        resumes++;
        eventsAtResume = splitter.total();
        LOG.debugf("endpoint: Resuming the stream of run %s at event %d", run, (Object) eventsAtResume);
        listener.resumed();
        String path = "/v1/engine/streams/" + EngineClient.encode(run.value());
        client.later(
                () -> send(client.request(path).param("offset", Long.toString(splitter.total()))),
                RESUME_DELAY_MILLIS * resumes);
    }

    private void end(Response response, Usage usage) {
        if (finish()) {
            listener.ended(response.getStatus(), response.getHeaders().get("Content-Type"), usage);
        }
    }

    private void fail(EngineException cause) {
        if (finish()) {
            listener.failed(cause);
        }
    }

    private synchronized boolean finish() {
        boolean first = !over;
        over = true;
        return first;
    }

    private synchronized boolean isOver() {
        return over;
    }

    private static boolean isStream(Response response) {
        String type = response.getHeaders().get("Content-Type");
        return type != null && type.startsWith("text/event-stream");
    }
}
