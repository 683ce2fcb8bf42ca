package org.cicadahead.endpoint;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;
import org.cicadahead.wire.Responder;

/** One run from its arrival to its end. Guarded by the lock of the run flow where not said otherwise. */
final class RunTask {
    final RunRequest request;
    final Responder responder;
    final long deadlineNanos;
    private byte[] body;
    /** Cancels the run on the backend once it is there; null before. */
    Runnable cancellation;

    boolean dispatched;
    volatile boolean sent;
    boolean cancelled;
    boolean ended;
    /** Written only by the sink of the backend, which is called by one thread at a time. */
    long chunks;

    long events;
    long lastDataNanos;
    /** The answer of a claimed run, which is recorded before it is sent on. */
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream(0);

    RunTask(RunRequest request, Responder responder, long nowNanos) {
        this.body = request.body() == null ? new byte[0] : request.body();
        this.request = withoutBody(request);
        this.responder = responder;
        this.deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
    }

    long leftMillis() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }

    int bodyBytes() {
        return body.length;
    }

    /** Hands the body over; it is not kept, as running requests would hold more memory than the process may have. */
    byte[] takeBody() {
        byte[] taken = body;
        body = new byte[0];
        return taken;
    }

    boolean isClaimed() {
        return request.claim() != null;
    }

    void record(byte[] data) {
        recorded.writeBytes(data);
    }

    byte[] recorded() {
        return recorded.toByteArray();
    }

    /** Returns the tokens that the organisation is charged with; cached prompt tokens cost next to nothing. */
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
