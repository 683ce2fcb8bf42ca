package org.cicadahead.gateway;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cicadahead.model.RefusalReason;

/**
 * The life cycle of one request, which ends exactly once. Thread-safe; its lock is taken before those of the selector
 * and the rate limiter.
 *
 * <p>The first event that ends the request (a response, a refusal, the time limit, a disconnect of the caller) wins;
 * later ones have no effect. The current stage is cancelled when the time limit or a disconnect ends the request.
 */
final class RequestScope {
    private final GatewayContext context;
    private final CallerRequest caller;
    private final CallerExchange exchange;
    private final RequestTrace trace;
    private Stage stage;
    private ScheduledFuture<?> deadline;
    private boolean streamStarted;
    private boolean done;

    /** A stage of processing that may have to be cancelled. */
    interface Stage {
        /** Cancels the stage, because the request has ended. */
        void cancel();

        /** Returns whether an endpoint may have run the request, so that it must not be refused as "not run". */
        boolean mayHaveRun();

        /** Returns the number of tokens sent to the caller so far. */
        long tokens();
    }

    RequestScope(GatewayContext context, CallerRequest caller, CallerExchange exchange) {
        this.context = context;
        this.caller = caller;
        this.exchange = exchange;
        this.trace = new RequestTrace(caller);
        context.activeRequests().add(this);
        exchange.onDisconnect(this::callerDisconnected);
    }

    GatewayContext context() {
        return context;
    }

    CallerRequest caller() {
        return caller;
    }

    RequestTrace trace() {
        return trace;
    }

    /** Schedules the end of the request at its deadline. */
    synchronized void expireAt(long deadlineMillis) {
        long left = Math.max(0, deadlineMillis - context.nowMillis());
        deadline =
                context.timer().schedule(() -> expire(RefusalReason.DEADLINE_UNREACHABLE), left, TimeUnit.MILLISECONDS);
    }

    /** Enters the next stage; returns false if the request has already ended and the stage must not begin. */
    synchronized boolean enter(Stage next) {
        stage = next;
        return !done;
    }

    synchronized boolean isDone() {
        return done;
    }

    synchronized boolean hasStreamStarted() {
        return streamStarted;
    }

    /** Sends a complete response and ends the request. If a stream has begun, resets its connection instead. */
    synchronized void answer(ResponseHead head, byte[] body, long tokens) {
        if (streamStarted) {
            // The caller would take the end of this response for the end of the stream.
            refuse(RefusalReason.ENDPOINT_LOST);
            return;
        }
        if (finish("answered", head.status(), tokens)) {
            context.counters().answered();
            exchange.answer(head, body);
        }
    }

    /** Sends a chunk of a stream, preceded by the head if it is the first; returns false if the request has ended. */
    synchronized boolean chunk(ResponseHead head, byte[] data) {
        if (done) {
            return false;
        }
        if (!streamStarted) {
            streamStarted = true;
            exchange.begin(head);
        }
        exchange.chunk(data);
        return true;
    }

    /** Ends the request with a complete stream. */
    synchronized void end(ResponseHead head, long tokens) {
        if (finish("streamed", head.status(), tokens)) {
            context.counters().answered();
            if (!streamStarted) {
                exchange.begin(head);
            }
            exchange.end();
        }
    }

    /** Refuses the request, or resets its connection if a stream has begun. */
    synchronized void refuse(GatewayRefusal refusal) {
        RefusalReason reason = refusal.reason();
        long tokens = stage == null ? 0 : stage.tokens();
        if (finish(reason.code(), streamStarted ? 0 : reason.status(), tokens)) {
            context.counters().refused(reason);
            if (streamStarted) {
                context.counters().streamBroken();
                exchange.reset();
            } else {
                exchange.refuse(refusal);
            }
        }
    }

    void refuse(RefusalReason reason) {
        refuse(GatewayRefusal.of(reason));
    }

    /** Ends the request because the process is about to end. */
    void stop() {
        expire(RefusalReason.SHUTTING_DOWN);
    }

    private void expire(RefusalReason notRun) {
        Stage current;
        synchronized (this) {
            current = stage;
            boolean ran = current != null && current.mayHaveRun();
            refuse(ran ? RefusalReason.DEADLINE_EXCEEDED : notRun);
        }
        if (current != null) {
            current.cancel();
        }
    }

    private void callerDisconnected() {
        Stage current;
        synchronized (this) {
            current = stage;
            if (!finish("caller_gone", 0, current == null ? 0 : current.tokens())) {
                return;
            }
            context.counters().callerDisconnected();
            exchange.reset();
        }
        if (current != null) {
            current.cancel();
        }
    }

    private boolean finish(String outcome, int status, long tokens) {
        if (done) {
            return false;
        }
        done = true;
        if (deadline != null) {
            deadline.cancel(false);
        }
        context.activeRequests().remove(this);
        context.decisions().line(trace.line(outcome, status, tokens, context.nowMillis(), System.currentTimeMillis()));
        return true;
    }
}
