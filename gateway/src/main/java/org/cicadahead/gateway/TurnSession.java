package org.cicadahead.gateway;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.fleet.CloseTurn;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.TurnOpened;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Done;

/**
 * A turn at the stores: opened before it is sent to an endpoint, and closed once.
 *
 * <p>A turn that is kept is closed before the caller sees its end, as a later turn may name it from then on. All others
 * are settled afterwards; until then they count at their most.
 */
final class TurnSession implements RequestScope.Stage, TurnCompletion {
    /** How long the stores may take to open a turn, in milliseconds: longer than they take to change their leader. */
    private static final long OPEN_MILLIS = 2_000;
    /** The least time that an endpoint needs after the turn is open, in milliseconds. */
    private static final long RUN_MILLIS = 100;

    private final RequestScope scope;
    private final AdmittedRequest admitted;
    private byte[] text = new byte[0];
    private boolean closed;

    private TurnSession(RequestScope scope, AdmittedRequest admitted) {
        this.scope = scope;
        this.admitted = admitted;
    }

    /** Opens the turn of a request, and goes on with its endpoint. */
    static void open(RequestScope scope, AdmittedRequest admitted) {
        TurnSession session = new TurnSession(scope, admitted);
        if (!scope.enter(session)) {
            return;
        }
        CallerRequest caller = admitted.caller();
        byte[] known =
                caller.previousTurn().isEmpty() ? null : scope.context().texts().find(caller.previousTurn());
        OpenTurn open = new OpenTurn(
                caller.attempt(),
                admitted.organisationName(),
                admitted.program(),
                admitted.hasBudget() ? caller.programContext().budgetTokens() : -1,
                caller.maxTokens(),
                caller.previousTurn(),
                admitted.keepsTurn() ? caller.body() : null,
                admitted.route().retentionMillis(),
                known != null);
        long timeout = Math.min(OPEN_MILLIS, admitted.leftMillis(scope.context().nowMillis()) - RUN_MILLIS);
        scope.context().stores().open(open, Math.max(1, timeout)).whenComplete((opened, failure) -> {
            if (failure != null) {
                session.settle(0);
                scope.context().rates().giveBack(admitted.organisation());
                scope.refuse(RefusalReason.STORES_UNAVAILABLE);
            } else {
                session.opened(opened, known);
            }
        });
    }

    @Override
    public void cancel() {
        settle(0);
    }

    @Override
    public boolean mayHaveRun() {
        return false;
    }

    @Override
    public long tokens() {
        return 0;
    }

    @Override
    public void settle(long tokens) {
        if (markClosed()) {
            scope.context().stores().settle(close(tokens, null));
        }
    }

    @Override
    public CompletableFuture<Done> complete(long tokens, byte[] output) {
        if (!markClosed()) {
            return CompletableFuture.failedFuture(new IllegalStateException("the turn is closed"));
        }
        CallerRequest caller = admitted.caller();
        if (!admitted.keepsTurn()) {
            scope.context().stores().settle(close(tokens, null));
            return CompletableFuture.completedFuture(Done.ok());
        }
        long left = Math.max(1, admitted.leftMillis(scope.context().nowMillis()));
        CloseTurn close = close(tokens, output);
        return scope.context().stores().close(close, left).whenComplete((done, failure) -> {
            if (failure == null) {
                scope.context().texts().put(caller.attempt(), join(text, output));
            } else {
                scope.context().stores().settle(close(tokens, null));
            }
        });
    }

    private void opened(TurnOpened opened, byte[] known) {
        scope.trace().opened(scope.context().nowMillis());
        if (opened.verdict() == TurnOpened.Verdict.OPEN) {
            run(opened.history() == null ? known : opened.history());
        } else {
            scope.context().rates().giveBack(admitted.organisation());
            boolean spent = opened.verdict() == TurnOpened.Verdict.BUDGET_SPENT;
            scope.refuse(spent ? RefusalReason.BUDGET_EXHAUSTED : RefusalReason.TURN_UNKNOWN);
        }
    }

    private void run(byte[] history) {
        CallerRequest caller = admitted.caller();
        if (history == null && !caller.previousTurn().isEmpty()) {
            settle(0);
            scope.refuse(RefusalReason.STORES_UNAVAILABLE);
            return;
        }
        text = history == null ? caller.body() : join(history, caller.body());
        EndpointAttempts.start(scope, admitted, text, this);
    }

    private CloseTurn close(long tokens, byte[] output) {
        return new CloseTurn(
                admitted.caller().attempt(), admitted.organisationName(), admitted.program(), tokens, output);
    }

    private synchronized boolean markClosed() {
        boolean first = !closed;
        closed = true;
        return first;
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = new byte[first.length + second.length];
        System.arraycopy(first, 0, joined, 0, first.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
