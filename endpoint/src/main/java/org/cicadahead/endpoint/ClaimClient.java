package org.cicadahead.endpoint;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.AbandonClaim;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.FinishClaim;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.StartClaim;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * Starts, abandons and finishes claims at control. Thread-safe; no method blocks.
 *
 * <p>The start of a claim is requested only once. If the reply is lost, the claim is abandoned and this run never
 * starts it, because control could not distinguish a second request from a late first one.
 */
final class ClaimClient {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    private static final long START_TIMEOUT_MILLIS = 3_000;
    private static final long ATTEMPT_TIMEOUT_MILLIS = 3_000;
    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final int MAX_RETRY_DOUBLINGS = 6;

    private final ControlPort control;
    private final EndpointId endpoint;
    private final long generation;
    private final ScheduledExecutorService timer;
    private final AtomicInteger unacknowledged = new AtomicInteger();
    private volatile boolean closed;

    /** The result of a request to start a claim, which decides whether the run may call its service. */
    enum StartResult {
        /** The claim is started for this run. */
        STARTED,
        /** Control refused the start because another attempt has closed the claim. */
        FENCED,
        /** Control did not reply; the claim is abandoned, and the service was not called. */
        ABANDONED
    }

    ClaimClient(ControlPort control, EndpointId endpoint, long generation, ScheduledExecutorService timer) {
        this.control = control;
        this.endpoint = endpoint;
        this.generation = generation;
        this.timer = timer;
    }

    /** Requests the start of a claim. The future completes once it is certain whether the run may call the service. */
    CompletableFuture<StartResult> start(ClaimRef claim, RunId run, long remainingMillis) {
        CompletableFuture<StartResult> result = new CompletableFuture<>();
        long timeoutMillis = Math.max(1, Math.min(remainingMillis, START_TIMEOUT_MILLIS));
        control.call(new StartClaim(claim, endpoint, generation, run), Done.class, timeoutMillis)
                .whenComplete((done, failure) -> {
                    if (failure == null) {
                        result.complete(done.accepted() ? StartResult.STARTED : StartResult.FENCED);
                    } else if (failure instanceof WireException e && !e.mayHaveArrived()) {
                        result.complete(StartResult.ABANDONED);
                    } else {
                        LOG.warnf("endpoint: No reply to StartClaim of run %s; abandoning the claim", run);
                        abandon(claim, run).whenComplete((d, f) -> result.complete(StartResult.ABANDONED));
                    }
                });
        return result;
    }

    /** Tells control that the service was not called. The future completes when control has acknowledged it. */
    CompletableFuture<Done> abandon(ClaimRef claim, RunId run) {
        return retryUntilAcknowledged(new AbandonClaim(claim, run));
    }

    /** Records an outcome at control; null means unknown. The future completes when control has acknowledged it. */
    CompletableFuture<Done> finish(ClaimRef claim, RunId run, Outcome outcome) {
        return retryUntilAcknowledged(new FinishClaim(claim, run, outcome));
    }

    /** Returns the number of commands to abandon or finish a claim that control has not acknowledged yet. */
    int unacknowledged() {
        return unacknowledged.get();
    }

    /** Stops sending unacknowledged commands again. */
    void close() {
        closed = true;
    }

    private CompletableFuture<Done> retryUntilAcknowledged(Command command) {
        CompletableFuture<Done> result = new CompletableFuture<>();
        unacknowledged.incrementAndGet();
        result.whenComplete((done, failure) -> unacknowledged.decrementAndGet());
        attempt(command, 0, result);
        return result;
    }

    private void attempt(Command command, int failedAttempts, CompletableFuture<Done> result) {
        if (closed) {
            return;
        }
        control.call(command, Done.class, ATTEMPT_TIMEOUT_MILLIS).whenComplete((done, failure) -> {
            if (failure == null) {
                if (!done.accepted()) {
                    LOG.warnf(
                            "endpoint: Control refused %s: %s",
                            command.getClass().getSimpleName(), done.detail());
                }
                result.complete(done);
                return;
            }
            long delay =
                    Math.min(FIRST_RETRY_MILLIS << Math.min(failedAttempts, MAX_RETRY_DOUBLINGS), MAX_RETRY_MILLIS);
            TimerTasks.schedule(timer, () -> attempt(command, failedAttempts + 1, result), delay);
        });
    }
}
