package org.cicadahead.endpoint;

import java.util.concurrent.ScheduledExecutorService;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.Usage;

/**
 * Records how a claimed run ended, then answers the entry. Safe for use by several threads.
 *
 * <p>If control has not acknowledged by the deadline of the request, the entry is told that the outcome is not
 * confirmed, and the record is still retried.
 */
final class ClaimCompletion {
    private final RunDispatcher flow;
    private final ClaimClient claims;
    private final EndpointId endpoint;
    private final ScheduledExecutorService timer;

    ClaimCompletion(RunDispatcher flow, ClaimClient claims, EndpointId endpoint, ScheduledExecutorService timer) {
        this.flow = flow;
        this.claims = claims;
        this.endpoint = endpoint;
        this.timer = timer;
    }

    /** Records a complete answer and sends it on. */
    void answered(RunTask task, int status, String contentType, Usage usage) {
        Outcome outcome = new Outcome(status, contentType, task.recorded(), endpoint);
        claims.finish(task.request.claim(), task.request.run(), outcome).whenComplete((done, failure) -> {
            if (flow.isOpen(task)) {
                RunDispatcher.send(task, outcome.body());
                flow.finish(task, usage, flow.answered(task, status, contentType, usage));
            }
        });
    }

    /** Releases the claim if the service certainly did not get the request, and records an unknown outcome else. */
    void failed(RunTask task, Backend.Failure failure, String text) {
        boolean notRun = failure == Backend.Failure.NOT_SENT || failure == Backend.Failure.MALFORMED;
        if (notRun) {
            claims.abandon(task.request.claim(), task.request.run())
                    .whenComplete((done, problem) ->
                            flow.finish(task, null, flow.end(task, RefusalReason.ENDPOINT_FAILED, true, text)));
        } else {
            claims.finish(task.request.claim(), task.request.run(), null)
                    .whenComplete((done, problem) ->
                            flow.finish(task, null, flow.end(task, RefusalReason.OUTCOME_UNKNOWN, false, text)));
        }
    }

    /** Answers the entry at the deadline, also while control is asked whether the claim may start. */
    void watchDeadline(RunTask task) {
        TimerTasks.schedule(timer, () -> unconfirmed(task), Math.max(0, task.leftMillis()));
    }

    private void unconfirmed(RunTask task) {
        if (flow.isOpen(task)) {
            String text = "control has not acknowledged the outcome";
            flow.finish(task, null, flow.end(task, RefusalReason.OUTCOME_UNCONFIRMED, false, text));
        }
    }
}
