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
 * Starts, abandons and finishes claims at control. Safe for use by several threads; nothing here blocks.
 *
 * <p>A start is asked for once. After a lost answer the claim is abandoned and never started by this run, as a second
 * start could not be told from a late first one.
 */
final class ClaimClient {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    private static final long START_TIMEOUT_MILLIS = 3_000;
    private static final long ATTEMPT_TIMEOUT_MILLIS = 3_000;
    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final int MAX_DOUBLINGS = 6;

    private final ControlPort control;
    private final EndpointId endpoint;
    private final long generation;
    private final ScheduledExecutorService timer;
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean closed;

    /** Whether a run may call its service. */
    enum StartResult {
        /** The claim is started for this run. */
        STARTED,
        /** Control refused; another attempt has closed the claim. */
        FENCED,
        /** Control did not answer; the claim is abandoned and certainly not run. */
        ABANDONED
    }

    ClaimClient(ControlPort control, EndpointId endpoint, long generation, ScheduledExecutorService timer) {
        this.control = control;
        this.endpoint = endpoint;
        this.generation = generation;
        this.timer = timer;
    }

    /** Asks to start a claim; completes once it is certain whether the run may call the service. */
    CompletableFuture<StartResult> start(ClaimRef claim, RunId run, long leftMillis) {
        CompletableFuture<StartResult> result = new CompletableFuture<>();
        long timeoutMillis = Math.max(1, Math.min(leftMillis, START_TIMEOUT_MILLIS));
        control.call(new StartClaim(claim, endpoint, generation, run), Done.class, timeoutMillis)
                .whenComplete((done, failure) -> {
                    if (failure == null) {
                        result.complete(done.accepted() ? StartResult.STARTED : StartResult.FENCED);
                    } else if (failure instanceof WireException e && !e.mayHaveArrived()) {
                        result.complete(StartResult.ABANDONED);
                    } else {
                        LOG.warnf("endpoint: No answer to StartClaim of run %s, which is abandoned", run);
                        abandon(claim, run).whenComplete((d, f) -> result.complete(StartResult.ABANDONED));
                    }
                });
        return result;
    }

    /** States that the service certainly was not called; completes when control has recorded it. */
    CompletableFuture<Done> abandon(ClaimRef claim, RunId run) {
        return untilAcknowledged(new AbandonClaim(claim, run));
    }

    /** Records an outcome, or null for an unknown one; completes when control has recorded it. */
    CompletableFuture<Done> finish(ClaimRef claim, RunId run, Outcome outcome) {
        return untilAcknowledged(new FinishClaim(claim, run, outcome));
    }

    /** Returns how many records control has not acknowledged yet. */
    int unacknowledged() {
        return open.get();
    }

    void close() {
        closed = true;
    }

    private CompletableFuture<Done> untilAcknowledged(Command command) {
        CompletableFuture<Done> result = new CompletableFuture<>();
        open.incrementAndGet();
        result.whenComplete((done, failure) -> open.decrementAndGet());
        attempt(command, 0, result);
        return result;
    }

    private void attempt(Command command, int attempts, CompletableFuture<Done> result) {
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
            long delay = Math.min(FIRST_RETRY_MILLIS << Math.min(attempts, MAX_DOUBLINGS), MAX_RETRY_MILLIS);
            TimerTasks.schedule(timer, () -> attempt(command, attempts + 1, result), delay);
        });
    }
}
