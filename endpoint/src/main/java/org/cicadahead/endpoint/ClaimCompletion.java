package org.cicadahead.endpoint;

import java.util.concurrent.ScheduledExecutorService;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.Usage;

/**
 * Records the outcome of a claimed run at control, then replies to the entry. Thread-safe.
 *
 * <p>If control has not acknowledged the outcome by the deadline of the request, the entry is told that the outcome is
 * unconfirmed. The outcome is still sent to control until control acknowledges it.
 */
final class ClaimCompletion {
    private final RunDispatcher dispatcher;
    private final ClaimClient claims;
    private final EndpointId endpoint;
    private final ScheduledExecutorService timer;

    ClaimCompletion(RunDispatcher dispatcher, ClaimClient claims, EndpointId endpoint, ScheduledExecutorService timer) {
        this.dispatcher = dispatcher;
        this.claims = claims;
        this.endpoint = endpoint;
        this.timer = timer;
    }

    /** Records a complete response, then sends it to the entry. */
    void completed(RunTask task, int status, String contentType, Usage usage) {
        Outcome outcome = new Outcome(status, contentType, task.recordedResponse(), endpoint);
        claims.finish(task.request.claim(), task.request.run(), outcome).whenComplete((done, failure) -> {
            if (dispatcher.isOpen(task)) {
                RunDispatcher.sendChunks(task, outcome.body());
                dispatcher.finish(task, usage, dispatcher.responseEnd(task, status, contentType, usage));
            }
        });
    }

    /** Releases the claim if the request was not sent, and records an unknown outcome otherwise. */
    void failed(RunTask task, Backend.Failure failure, String message) {
        boolean notRun = failure == Backend.Failure.NOT_SENT || failure == Backend.Failure.MALFORMED;
        if (notRun) {
            claims.abandon(task.request.claim(), task.request.run())
                    .whenComplete((done, error) -> dispatcher.finish(
                            task, null, dispatcher.refusalEnd(task, RefusalReason.ENDPOINT_FAILED, true, message)));
        } else {
            claims.finish(task.request.claim(), task.request.run(), null)
                    .whenComplete((done, error) -> dispatcher.finish(
                            task, null, dispatcher.refusalEnd(task, RefusalReason.OUTCOME_UNKNOWN, false, message)));
        }
    }

    /** Schedules a reply to the entry at the deadline, even if control has not replied to the start by then. */
    void watchDeadline(RunTask task) {
        TimerTasks.schedule(timer, () -> endUnconfirmed(task), Math.max(0, task.remainingMillis()));
    }

    private void endUnconfirmed(RunTask task) {
        if (dispatcher.isOpen(task)) {
            String message = "control has not acknowledged the outcome";
            dispatcher.finish(
                    task, null, dispatcher.refusalEnd(task, RefusalReason.OUTCOME_UNCONFIRMED, false, message));
        }
    }
}
