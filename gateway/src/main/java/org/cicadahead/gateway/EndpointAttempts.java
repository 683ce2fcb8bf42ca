package org.cicadahead.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Done;

/**
 * The endpoints that a request is sent to, one after another. Its lock is that of its request scope.
 *
 * <p>A send that certainly did not run goes on at another endpoint and does not count as an attempt. One that may have
 * run is repeated only where the route allows it, at most as often as the route says.
 */
final class EndpointAttempts implements RequestScope.Stage {
    /** Nothing is to be done at the end of a request that is no turn. */
    static final TurnCompletion NO_TURN = new TurnCompletion() {
        @Override
        public void settle(long tokens) {
            // There is no turn.
        }

        @Override
        public CompletableFuture<Done> complete(long tokens, byte[] output) {
            return CompletableFuture.completedFuture(Done.ok());
        }
    };

    /** How many endpoints may turn a request away before it is refused; more would find the same load. */
    private static final int MAX_REJECTIONS = 3;
    /** The least time left for which a request is sent, in milliseconds: the way there and back. */
    private static final long LEAST_SEND_MILLIS = 20;
    /** After this part of the time left without a first byte, a request that may be repeated is sent elsewhere. */
    private static final double PATIENCE_PART = 0.35;
    /** The least patience in milliseconds: several times a first event under load. */
    private static final long PATIENCE_MILLIS = 400;
    /** When a caller should come back to endpoints without room, in milliseconds: about one run. */
    private static final long FULL_RETRY_MILLIS = 150;

    private final RequestScope scope;
    private final AdmittedRequest admitted;
    private final byte[] body;
    private final TurnCompletion turn;
    private final Set<String> tried = new HashSet<>();
    private ResponseRelay relay;
    private EndpointSelector.Placement placement;
    private Runnable cancellation;
    private ScheduledFuture<?> patience;
    private long sentMillis;
    private int generation;
    private int runs;
    private int rejections;
    private long lastEvent;
    private long tokens;

    private EndpointAttempts(RequestScope scope, AdmittedRequest admitted, byte[] body, TurnCompletion turn) {
        this.scope = scope;
        this.admitted = admitted;
        this.body = body;
        this.turn = turn;
        this.lastEvent = admitted.caller().lastEventId();
    }

    /** Sends a request for the first time. */
    static void start(RequestScope scope, AdmittedRequest admitted, byte[] body, TurnCompletion turn) {
        EndpointAttempts attempts = new EndpointAttempts(scope, admitted, body, turn);
        if (scope.enter(attempts)) {
            attempts.send();
        } else {
            turn.settle(0);
        }
    }

    @Override
    public void cancel() {
        synchronized (scope) {
            giveUp("cancelled");
            turn.settle(tokens);
        }
    }

    @Override
    public boolean mayHaveRun() {
        return runs > 0;
    }

    @Override
    public long tokens() {
        return tokens;
    }

    private void send() {
        synchronized (scope) {
            long now = scope.context().nowMillis();
            long left = admitted.leftMillis(now);
            if (scope.isDone() || left < LEAST_SEND_MILLIS) {
                if (!scope.isDone()) {
                    end(runs > 0 ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.DEADLINE_UNREACHABLE, 0);
                }
                return;
            }
            String session = admitted.service().runsModels() ? admitted.caller().cacheLine() : "";
            placement = scope.context().selector().place(admitted.service().name(), session, tried, now);
            if (placement == null) {
                noEndpoint();
                return;
            }
            tried.add(placement.record().id());
            begin(now, left);
        }
    }

    private void begin(long now, long left) {
        int attempt = ++generation;
        sentMillis = now;
        runs++;
        relay = ResponseRelay.create(admitted, lastEvent);
        cancellation = null;
        boolean repeatable = admitted.route().mayRepeat();
        EndpointRequest request = new EndpointRequest(
                admitted.caller(),
                body,
                placement.record().address(),
                placement.record().id(),
                admitted.organisationName(),
                left,
                lastEvent);
        Runnable cancel = scope.context().endpoints().send(request, new Listener(attempt));
        if (attempt == generation && placement != null) {
            cancellation = cancel;
        }
        if (repeatable && runs < admitted.route().maxAttempts()) {
            long wait = Math.max(PATIENCE_MILLIS, (long) (left * PATIENCE_PART));
            patience = scope.context().timer().schedule(() -> slow(attempt), wait, TimeUnit.MILLISECONDS);
        }
    }

    private void noEndpoint() {
        if (rejections > 0 && runs == 0) {
            end(RefusalReason.ENDPOINT_OVERLOADED, FULL_RETRY_MILLIS);
        } else {
            end(runs > 0 ? RefusalReason.ENDPOINT_LOST : RefusalReason.NO_ENDPOINT, FULL_RETRY_MILLIS);
        }
    }

    private void end(RefusalReason reason, long retryAfterMillis) {
        turn.settle(tokens);
        scope.refuse(new GatewayRefusal(reason, reason.notRun() ? retryAfterMillis : 0));
    }

    private void slow(int attempt) {
        synchronized (scope) {
            if (attempt == generation && placement != null && !relay.hasBegun() && !scope.isDone()) {
                retry(RetryReason.SLOW);
            }
        }
    }

    /** Ends the present send without an answer. */
    private void giveUp(String outcome) {
        generation++;
        if (patience != null) {
            patience.cancel(false);
            patience = null;
        }
        if (placement != null) {
            record(outcome, scope.context().nowMillis());
            placement.cancelled();
            placement = null;
        }
        if (cancellation != null) {
            cancellation.run();
            cancellation = null;
        }
    }

    private void record(String outcome, long now) {
        scope.trace().attempt(placement.record().id(), outcome, sentMillis, now);
    }

    /** Goes on at another endpoint, if that is allowed and useful. */
    private void retry(RetryReason reason) {
        placement.failed(reason, scope.context().nowMillis());
        giveUp(reason.code());
        if (scope.isDone()) {
            turn.settle(tokens);
            return;
        }
        if (!reason.mayHaveRun()) {
            runs--;
            rejections++;
            if (rejections > MAX_REJECTIONS) {
                noEndpoint();
                return;
            }
        } else if (!admitted.route().mayRepeat() || runs >= admitted.route().maxAttempts()) {
            end(RefusalReason.ENDPOINT_LOST, 0);
            return;
        }
        scope.context().counters().retried(reason);
        send();
    }

    private void delivered(ResponseHead head) {
        if (patience != null) {
            patience.cancel(false);
        }
        long now = scope.context().nowMillis();
        double millis = (double) (now - sentMillis) / Math.max(1, relay.events());
        placement.succeeded(admitted.route().name(), millis, now);
        record("ok", now);
        placement = null;
        cancellation = null;
        if (!relay.isStream()) {
            turn.settle(tokens);
            scope.answer(head, relay.body(), tokens);
            return;
        }
        long total = tokens;
        turn.complete(total, relay.output()).whenComplete((done, failure) -> {
            if (failure == null) {
                scope.end(head, total);
            } else {
                // The turn ran, so that a refusal as "not run" would not be true.
                scope.refuse(RefusalReason.OUTCOME_UNCONFIRMED);
            }
        });
    }

    /** Takes the answer of one send; what comes from an earlier one is ignored. */
    private final class Listener implements EndpointListener {
        private final int attempt;

        Listener(int attempt) {
            this.attempt = attempt;
        }

        @Override
        public void head(ResponseHead head) {
            synchronized (scope) {
                if (isCurrent()) {
                    RetryReason reason =
                            relay.head(head, runs < admitted.route().maxAttempts());
                    if (reason != null) {
                        retry(reason);
                    }
                }
            }
        }

        @Override
        public void data(byte[] data) {
            synchronized (scope) {
                if (!isCurrent()) {
                    return;
                }
                List<StreamEvent> fresh = relay.data(data);
                lastEvent = relay.lastEvent();
                for (StreamEvent event : fresh) {
                    tokens += relay.tokens(event);
                    scope.piece(relay.head(), event.bytes());
                }
                if (relay.isBroken()) {
                    retry(RetryReason.BAD_ANSWER);
                }
            }
        }

        @Override
        public void end() {
            synchronized (scope) {
                if (isCurrent()) {
                    if (relay.isComplete()) {
                        delivered(relay.head());
                    } else {
                        retry(RetryReason.BAD_ANSWER);
                    }
                }
            }
        }

        @Override
        public void failed(boolean mayHaveRun, String cause) {
            synchronized (scope) {
                if (isCurrent()) {
                    retry(mayHaveRun ? RetryReason.LOST : RetryReason.NOT_SENT);
                }
            }
        }

        private boolean isCurrent() {
            return attempt == generation && placement != null;
        }
    }
}
