package org.cicadahead.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.cicadahead.http.CloseDelimitedResponse;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.Usage;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.jboss.logging.Logger;

/**
 * One run on an engine, which may use several connections one after the other. No other lock is acquired while the lock
 * of this object is held. The listener is called without the lock. Its calls do not overlap, because each attempt
 * starts after the previous one has ended.
 */
final class StreamingCall implements EngineCall {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    /** Maximum number of consecutive attempts to resume without progress. */
    private static final int MAX_RESUME_ATTEMPTS = 3;

    private static final long RESUME_DELAY_MILLIS = 50;
    private static final int OK = 200;
    /** The maximum size of a response that is not a stream, as such a response is held in memory. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final EngineClient client;
    private final RunId run;
    private final boolean stream;
    private final EngineListener listener;
    private final long deadlineNanos;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream(0);
    private Request current;
    private boolean finished;
    private volatile boolean sent;
    private volatile long lastProgressNanos = System.nanoTime();
    private volatile EngineException abortCause;
    private int resumeAttempts;

    /** Number of events received before the last attempt to resume, or -1 if there was no such attempt. */
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
            if (finished) {
                return;
            }
            finished = true;
            request = current;
        }
        client.cancel(run);
        if (request != null) {
            request.abort(new EngineException(EngineException.Kind.LOST, "the run was cancelled", null));
        }
    }

    @Override
    public void abort(String reason) {
        Request request;
        synchronized (this) {
            if (finished) {
                return;
            }
            request = current;
        }
        abortCause = new EngineException(EngineException.Kind.TIMEOUT, reason, null);
        client.cancel(run);
        if (request != null) {
            request.abort(abortCause);
        }
    }

    @Override
    public long lastProgressNanos() {
        return lastProgressNanos;
    }

    private void send(Request request) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        synchronized (this) {
            if (finished) {
                return;
            }
            current = request;
        }
        if (remainingMillis <= 0) {
            fail(new EngineException(EngineException.Kind.TIMEOUT, "the deadline of the request has passed", null));
            return;
        }
        splitter.reset();
        request.timeout(remainingMillis, TimeUnit.MILLISECONDS)
                .onRequestBegin(r -> sent = true)
                .onResponseContentAsync(this::onContent)
                .send(this::onComplete);
    }

    private void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        lastProgressNanos = System.nanoTime();
        long pauseMillis = 0;
        try {
            pauseMillis = isStream(response) ? onEvents(chunk.getByteBuffer()) : onBody(chunk.getByteBuffer());
        } catch (EngineException e) {
            abortCause = e;
            response.abort(e);
        }
        if (pauseMillis > 0) {
            client.schedule(demander, pauseMillis);
        } else {
            demander.run();
        }
    }

    private long onEvents(ByteBuffer bytes) throws EngineException {
        byte[] events = splitter.feed(bytes);
        return events.length == 0 || isFinished() ? 0 : listener.data(events, splitter.lastEvents());
    }

    private long onBody(ByteBuffer bytes) throws EngineException {
        if (responseBody.size() + bytes.remaining() > MAX_BODY_BYTES) {
            throw new EngineException(EngineException.Kind.MALFORMED, "the response is too large", null);
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        responseBody.writeBytes(copy);
        return 0;
    }

    private void onComplete(Result result) {
        if (isFinished()) {
            return;
        }
        Response response = result.getResponse();
        boolean resuming = eventsAtResume >= 0;
        if (result.isSucceeded() && isStream(response)) {
            if (splitter.isComplete()) {
                end(response, EngineBodies.usage(splitter.usageEvent()));
            } else {
                resume(new EngineException(EngineException.Kind.LOST, "the stream ended before its last event", null));
            }
        } else if (result.isSucceeded() && resuming) {
            fail(new EngineException(EngineException.Kind.LOST, "the engine cannot resume the stream", null));
        } else if (result.isSucceeded()) {
            endBody(response, responseBody.toByteArray());
        } else if (!sent) {
            fail(new EngineException(
                    EngineException.Kind.NOT_SENT, "the request could not be sent to the engine", result.getFailure()));
        } else if (abortCause != null) {
            fail(abortCause);
        } else if (stream) {
            resume(lostFailure(result.getFailure()));
        } else {
            fail(lostFailure(result.getFailure()));
        }
    }

    /**
     * Returns the failure of a run that was already sent. A connection that is refused on an attempt to resume means
     * that the engine has crashed, not that the run was not sent.
     */
    private EngineException lostFailure(Throwable failure) {
        EngineException cause = client.toEngineException("the connection to the engine was lost", failure);
        return cause.kind() == EngineException.Kind.NOT_SENT
                ? new EngineException(EngineException.Kind.LOST, "the connection to the engine was lost", failure)
                : cause;
    }

    /** Requests the rest of the stream, which the engine keeps for some seconds after a connection is lost. */
    private void resume(EngineException cause) {
        if (cause.kind() == EngineException.Kind.TIMEOUT) {
            client.cancel(run);
            fail(cause);
            return;
        }
        if (splitter.totalEvents() > eventsAtResume) {
            resumeAttempts = 0;
        }
        if (resumeAttempts >= MAX_RESUME_ATTEMPTS) {
            fail(cause);
            return;
        }
        resumeAttempts++;
        eventsAtResume = splitter.totalEvents();
        LOG.debugf("endpoint: Resuming the stream of run %s at event %d", run, (Object) eventsAtResume);
        listener.resumed();
        String path = "/v1/engine/streams/" + EngineClient.encode(run.value());
        client.schedule(
                () -> send(client.request(path).param("offset", Long.toString(splitter.totalEvents()))),
                RESUME_DELAY_MILLIS * resumeAttempts);
    }

    /** Ends a run whose response is not a stream. */
    private void endBody(Response response, byte[] body) {
        boolean ok = response.getStatus() == OK;
        boolean cutOff = ok
                ? CloseDelimitedResponse.isCutOffJson(response, body)
                : CloseDelimitedResponse.isCutOff(response, body);
        if (cutOff) {
            fail(new EngineException(EngineException.Kind.LOST, "the engine's response was cut off", null));
            return;
        }
        if (body.length > 0) {
            listener.data(body, 0);
        }
        end(response, ok ? EngineBodies.usage(body) : null);
    }

    private void end(Response response, Usage usage) {
        if (markFinished()) {
            listener.ended(response.getStatus(), response.getHeaders().get("Content-Type"), usage);
        }
    }

    private void fail(EngineException cause) {
        if (markFinished()) {
            listener.failed(cause);
        }
    }

    private synchronized boolean markFinished() {
        boolean first = !finished;
        finished = true;
        return first;
    }

    private synchronized boolean isFinished() {
        return finished;
    }

    /** Returns whether a response is a stream of events. An error is none, whatever its media type is. */
    private static boolean isStream(Response response) {
        String type = response.getHeaders().get("Content-Type");
        return response.getStatus() == OK && type != null && type.startsWith("text/event-stream");
    }
}
