package org.cicadahead.endpoint;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;
import org.cicadahead.wire.Responder;

/** The state of one run from its arrival to its end. Guarded by the lock of the dispatcher unless stated otherwise. */
final class RunTask {
    final RunRequest request;
    final Responder responder;
    final long deadlineNanos;
    private byte[] body;
    /** Cancels the run on the backend; null until the run has been passed to the backend. */
    Runnable cancellation;

    /** Whether the run has been taken from the queue. */
    boolean dispatched;
    /** Whether the run has been passed to the backend. */
    volatile boolean sent;

    boolean cancelled;
    boolean ended;
    /** Number of chunks sent to the entry. Written without the lock, by the sink of the run or after its last call. */
    long chunks;
    /** Number of stream events received. Written without the lock, only by the sink, whose calls do not overlap. */
    long events;
    /** Time of the last event, or of the dispatch before the first event. Written like {@link #events}. */
    long lastDataNanos;
    /** The response to a claimed run, which is recorded at control before it is sent to the entry. */
    private final ByteArrayOutputStream recordedResponse = new ByteArrayOutputStream(0);

    RunTask(RunRequest request, Responder responder, long nowNanos) {
        this.body = request.body() == null ? new byte[0] : request.body();
        this.request = withoutBody(request);
        this.responder = responder;
        this.deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
    }

    long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }

    int bodyBytes() {
        return body.length;
    }

    /** Returns the body and drops the reference, because the heap cannot hold the bodies of all running requests. */
    byte[] takeBody() {
        byte[] taken = body;
        body = new byte[0];
        return taken;
    }

    boolean isClaimed() {
        return request.claim() != null;
    }

    void recordData(byte[] data) {
        recordedResponse.writeBytes(data);
    }

    byte[] recordedResponse() {
        return recordedResponse.toByteArray();
    }

    /**
     * Returns the number of tokens charged to the organisation. Cached prompt tokens are free, because they take almost
     * no engine time. If the usage is unknown, the estimated prompt and the received events are charged.
     */
    long chargedTokens(Usage usage) {
        if (usage != null) {
            return Math.max(1, usage.promptTokens() - usage.cachedTokens() + usage.completionTokens());
        }
        return events == 0 ? 0 : request.promptTokens() + events;
    }

    private static RunRequest withoutBody(RunRequest from) {
        return new RunRequest(
                from.run(),
                from.organisation(),
                from.weight(),
                from.program(),
                from.root(),
                from.attainedTokens(),
                from.claim(),
                from.route(),
                from.policy(),
                from.digest(),
                from.alone(),
                from.method(),
                from.path(),
                from.headers(),
                null,
                from.stream(),
                from.promptTokens(),
                from.maxTokens(),
                from.deadlineMillis());
    }
}
