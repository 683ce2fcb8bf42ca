package org.cicadahead.gateway;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cicadahead.model.RefusalReason;

/**
 * One request from its arrival to its only end. Safe for use by several threads; its lock is taken before those of the
 * selector and the rate gate.
 *
 * <p>Whatever ends the request first (an answer, a refusal, the time limit, the caller's departure) wins; what comes
 * later has no effect. The present stage is told when it is to give up.
 */
final class RequestScope {
    private final GatewayContext context;
    private final CallerRequest caller;
    private final CallerExchange exchange;
    private final RequestTrace trace;
    private Stage stage;
    private ScheduledFuture<?> deadline;
    private boolean begun;
    private boolean done;

    /** What a request waits for. */
    interface Stage {
        /** Gives up, as the request has ended. */
        void cancel();

        /** Returns whether an endpoint may have run the request, so that "not run" would not be true. */
        boolean mayHaveRun();

        /** Returns the tokens handed to the caller so far. */
        long tokens();
    }

    RequestScope(GatewayContext context, CallerRequest caller, CallerExchange exchange) {
        this.context = context;
        this.caller = caller;
        this.exchange = exchange;
        this.trace = new RequestTrace(caller);
        context.active().incrementAndGet();
        exchange.onDisconnect(this::callerGone);
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

    /** Ends the request at a time unless it has ended before. */
    synchronized void expireAt(long deadlineMillis) {
        long left = Math.max(0, deadlineMillis - context.nowMillis());
        deadline = context.timer().schedule(this::expire, left, TimeUnit.MILLISECONDS);
    }

    /** Enters a stage; returns false if the request has ended. */
    synchronized boolean enter(Stage next) {
        stage = next;
        return !done;
    }

    synchronized boolean isDone() {
        return done;
    }

    synchronized boolean hasBegun() {
        return begun;
    }

    /** Sends a whole answer. */
    synchronized void answer(ResponseHead head, byte[] body, long tokens) {
        if (finish("answered", head.status(), tokens)) {
            context.counters().answered();
            exchange.answer(head, body);
        }
    }

    /** Sends a piece of a stream, and its head before the first; returns false if the request has ended. */
    synchronized boolean piece(ResponseHead head, byte[] data) {
        if (done) {
            return false;
        }
        if (!begun) {
            begun = true;
            exchange.begin(head);
        }
        exchange.piece(data);
        return true;
    }

    /** Ends a stream as complete. */
    synchronized void end(ResponseHead head, long tokens) {
        if (finish("streamed", head.status(), tokens)) {
            context.counters().answered();
            if (!begun) {
                exchange.begin(head);
            }
            exchange.end();
        }
    }

    /** Refuses the request, or breaks its stream off if it has begun. */
    synchronized void refuse(GatewayRefusal refusal) {
        RefusalReason reason = refusal.reason();
        long tokens = stage == null ? 0 : stage.tokens();
        if (finish(reason.code(), begun ? 0 : reason.status(), tokens)) {
            context.counters().refused(reason);
            if (begun) {
                context.counters().broken();
                exchange.reset();
            } else {
                exchange.refuse(refusal);
            }
        }
    }

    void refuse(RefusalReason reason) {
        refuse(GatewayRefusal.of(reason));
    }

    private void expire() {
        Stage current;
        synchronized (this) {
            current = stage;
            boolean ran = current != null && current.mayHaveRun();
            refuse(ran ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.DEADLINE_UNREACHABLE);
        }
        if (current != null) {
            current.cancel();
        }
    }

    private void callerGone() {
        Stage current;
        synchronized (this) {
            current = stage;
            if (!finish("caller_gone", 0, current == null ? 0 : current.tokens())) {
                return;
            }
            context.counters().gone();
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
        context.active().decrementAndGet();
        context.decisions().line(trace.line(outcome, status, tokens, context.nowMillis(), System.currentTimeMillis()));
        return true;
    }
}
