package org.cicadahead.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Done;

/**
 * Sends a request to endpoints, one at a time, until one succeeds. Guarded by the lock of its request scope.
 *
 * <p>A request that certainly did not run is retried at another endpoint and does not count as an attempt. One that may
 * have run is retried only if the route allows it, up to the route's maximum number of attempts.
 */
final class EndpointAttempts implements RequestScope.Stage {
    /** The completion of a request without a tracked turn; does nothing. */
    static final TurnCompletion NO_TURN = new TurnCompletion() {
        @Override
        public CompletableFuture<?> recordVersion(String version) {
            return CompletableFuture.completedFuture(Done.ok());
        }

        @Override
        public void closeIncomplete(long tokens) {
            // There is no turn to close.
        }

        @Override
        public CompletableFuture<Done> complete(long tokens, byte[] output) {
            return CompletableFuture.completedFuture(Done.ok());
        }
    };

    /**
     * The maximum number of rejections that are retried. After one more the request is refused, because the remaining
     * endpoints are probably overloaded as well.
     */
    private static final int MAX_REJECTIONS = 3;
    /** The minimum time left to send a request, in milliseconds: one network round trip. */
    private static final long MIN_SEND_MILLIS = 20;
    /** The first-byte timeout as a fraction of the time left; a retryable request is then sent to another endpoint. */
    private static final double FIRST_BYTE_TIMEOUT_FRACTION = 0.35;
    /** The minimum first-byte timeout, in milliseconds: several times the usual time to a first event under load. */
    private static final long MIN_FIRST_BYTE_TIMEOUT_MILLIS = 400;
    /**
     * The retry delay for callers when all endpoints are full, in milliseconds: about the time in which an endpoint
     * runs one request.
     */
    private static final long OVERLOAD_RETRY_MILLIS = 150;

    /**
     * The maximum total wait of a request that has not run for the request limits of endpoints, in milliseconds. A
     * caller that is refused instead returns later than that.
     */
    private static final long MAX_LIMIT_WAIT_MILLIS = 150;

    private final RequestScope scope;
    private final AdmittedRequest admitted;
    private final byte[] body;
    private final TurnCompletion turn;
    private final StreamVersions versions;
    private final Set<String> triedEndpoints = new HashSet<>();
    private ResponseRelay relay;
    private Listener listener;
    private EndpointSelector.Placement placement;
    private Runnable cancellation;
    private ScheduledFuture<?> firstByteTimeout;
    private ScheduledFuture<?> stallTimeout;
    private StreamProgress progress;
    private long sentMillis;
    private int currentAttempt;
    private int possibleRuns;
    private int rejections;
    private long limitWaitMillis;
    private long lastEventId;
    private long tokens;

    private EndpointAttempts(
            RequestScope scope, AdmittedRequest admitted, byte[] body, TurnCompletion turn, StreamVersions versions) {
        this.scope = scope;
        this.admitted = admitted;
        this.body = body;
        this.turn = turn;
        this.versions = versions;
        this.lastEventId = admitted.caller().lastEventId();
    }

    /** Starts the first attempt of a request. */
    static void start(
            RequestScope scope, AdmittedRequest admitted, byte[] body, TurnCompletion turn, StreamVersions versions) {
        EndpointAttempts attempts = new EndpointAttempts(scope, admitted, body, turn, versions);
        if (scope.enter(attempts)) {
            attempts.send();
        } else {
            turn.closeIncomplete(0);
        }
    }

    @Override
    public void cancel() {
        synchronized (scope) {
            abandon("cancelled");
            turn.closeIncomplete(tokens);
        }
    }

    @Override
    public boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    @Override
    public long tokens() {
        return tokens;
    }

    private void send() {
        synchronized (scope) {
            long now = scope.context().nowMillis();
            long leftMillis = admitted.leftMillis(now);
            if (scope.isDone() || leftMillis < MIN_SEND_MILLIS) {
                if (!scope.isDone()) {
                    refuse(possibleRuns > 0 ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.DEADLINE_UNREACHABLE, 0);
                }
                return;
            }
            OptionalLong quarantine = scope.context().crashes().quarantineMillis(admitted, now);
            if (quarantine.isPresent()) {
                refuse(
                        possibleRuns > 0 ? RefusalReason.ENDPOINT_LOST : RefusalReason.REQUEST_QUARANTINED,
                        quarantine.getAsLong());
                return;
            }
            placement = place(versions.isExtendable(), now);
            if (placement != null) {
                begin(now, leftMillis);
            } else if (versions.isExtendable()) {
                sendToLikelyVersion(now, leftMillis);
            } else {
                waitForCapacity(now, leftMillis);
            }
        }
    }

    /** Accepts the software versions at which the request may be sent, also those that are to be recorded before. */
    private Predicate<String> allowedVersions() {
        return versions.isExtendable() ? version -> true : versions::allows;
    }

    private EndpointSelector.Placement place(boolean healthyOnly, long now) {
        return scope.context().selector().place(admitted, triedEndpoints, versions::allows, healthyOnly, now);
    }

    private void begin(long now, long leftMillis) {
        triedEndpoints.add(placement.record().id());
        int attempt = ++currentAttempt;
        sentMillis = now;
        possibleRuns++;
        ResponseMemory memory = scope.context().responseMemory();
        relay = relay == null
                ? ResponseRelay.create(
                        admitted, scope.context().eventDistances().newSequence(admitted), memory)
                : relay.next(memory);
        cancellation = null;
        boolean repeatable = admitted.route().mayRepeat();
        EndpointRequest request = new EndpointRequest(
                admitted.caller(),
                body,
                placement.record().address(),
                placement.record().id(),
                admitted.organisationName(),
                leftMillis,
                lastEventId);
        listener = new Listener(attempt);
        Runnable cancel = scope.context().endpoints().send(request, listener);
        if (attempt == currentAttempt && placement != null) {
            cancellation = cancel;
        }
        if (repeatable && possibleRuns < admitted.route().maxAttempts()) {
            long timeoutMillis =
                    Math.max(MIN_FIRST_BYTE_TIMEOUT_MILLIS, (long) (leftMillis * FIRST_BYTE_TIMEOUT_FRACTION));
            firstByteTimeout = scope.context()
                    .timer()
                    .schedule(() -> firstByteTimedOut(attempt), timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends a stream that has not begun to the best endpoint of any version, and records its version before if need be.
     */
    private void sendToLikelyVersion(long now, long leftMillis) {
        Optional<String> version = scope.context().selector().likelyVersion(admitted, triedEndpoints, now);
        if (version.isPresent() && versions.allows(version.get())) {
            placement = place(false, now);
            if (placement != null) {
                begin(now, leftMillis);
                return;
            }
        }
        if (version.isEmpty() || versions.allows(version.get())) {
            waitForCapacity(now, leftMillis);
            return;
        }
        turn.recordVersion(version.get()).whenComplete((done, failure) -> {
            synchronized (scope) {
                if (failure == null) {
                    versions.add(version.get());
                    send();
                } else if (!scope.isDone()) {
                    refuse(possibleRuns > 0 ? RefusalReason.ENDPOINT_LOST : RefusalReason.STORES_UNAVAILABLE, 0);
                }
            }
        });
    }

    /**
     * Sends the request later if only the request limits of endpoints prevent it now, and the wait is short or the
     * request has already been at an endpoint. Otherwise refuses it.
     */
    private void waitForCapacity(long now, long leftMillis) {
        OptionalLong delay =
                scope.context().selector().limitDelayMillis(admitted, triedEndpoints, allowedVersions(), now);
        if (delay.isEmpty()) {
            refuseWithoutEndpoint();
            return;
        }
        long delayMillis = Math.max(1, delay.getAsLong());
        long maxWaitMillis = possibleRuns > 0 ? leftMillis : MAX_LIMIT_WAIT_MILLIS;
        if (limitWaitMillis + delayMillis <= maxWaitMillis && delayMillis <= leftMillis - MIN_SEND_MILLIS) {
            limitWaitMillis += delayMillis;
            scope.context().timer().schedule(this::send, delayMillis, TimeUnit.MILLISECONDS);
        } else if (possibleRuns == 0) {
            refuse(RefusalReason.ENDPOINT_OVERLOADED, delayMillis);
        } else {
            refuse(RefusalReason.ENDPOINT_LOST, 0);
        }
    }

    private void refuseWithoutEndpoint() {
        if (rejections > 0 && possibleRuns == 0) {
            refuse(RefusalReason.ENDPOINT_OVERLOADED, OVERLOAD_RETRY_MILLIS);
        } else if (possibleRuns == 0 && servedByOtherVersions()) {
            refuse(RefusalReason.STREAM_VERSION_UNAVAILABLE, 0);
        } else {
            refuse(possibleRuns > 0 ? RefusalReason.ENDPOINT_LOST : RefusalReason.NO_ENDPOINT, OVERLOAD_RETRY_MILLIS);
        }
    }

    /** Returns whether the request could be sent to an endpoint of a version that does not fit its stream. */
    private boolean servedByOtherVersions() {
        return scope.context()
                .selector()
                .likelyVersion(admitted, triedEndpoints, scope.context().nowMillis())
                .isPresent();
    }

    private void refuse(RefusalReason reason, long retryAfterMillis) {
        turn.closeIncomplete(tokens);
        scope.refuse(new GatewayRefusal(reason, reason.notRun() ? retryAfterMillis : 0));
    }

    /** Retries a slow request at another endpoint. If there is none, the slow one may still respond in time. */
    private void firstByteTimedOut(int attempt) {
        synchronized (scope) {
            if (attempt != currentAttempt || placement == null || relay.hasStarted() || scope.isDone()) {
                return;
            }
            long now = scope.context().nowMillis();
            if (scope.context().selector().isAvailable(admitted, triedEndpoints, allowedVersions(), now)) {
                retry(RetryReason.SLOW);
            }
        }
    }

    /** Measures the progress of a stream from now on. */
    private void watchProgress(int attempt) {
        long now = scope.context().nowMillis();
        progress = StreamProgress.start(admitted.route(), now);
        scheduleStallCheck(attempt, progress.leftMillis(now));
    }

    private void scheduleStallCheck(int attempt, long delayMillis) {
        if (delayMillis < admitted.leftMillis(scope.context().nowMillis())) {
            stallTimeout =
                    scope.context().timer().schedule(() -> checkProgress(attempt), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void checkProgress(int attempt) {
        synchronized (scope) {
            if (attempt != currentAttempt || placement == null || scope.isDone()) {
                return;
            }
            long leftMillis = progress.leftMillis(scope.context().nowMillis());
            if (leftMillis > 0) {
                scheduleStallCheck(attempt, leftMillis);
            } else {
                retry(RetryReason.STALLED);
            }
        }
    }

    private void cancelTimeouts() {
        if (firstByteTimeout != null) {
            firstByteTimeout.cancel(false);
            firstByteTimeout = null;
        }
        if (stallTimeout != null) {
            stallTimeout.cancel(false);
            stallTimeout = null;
        }
    }

    /** Ends the current attempt without a response. */
    private void abandon(String outcome) {
        currentAttempt++;
        cancelTimeouts();
        if (relay != null) {
            relay.release();
        }
        if (placement != null) {
            traceAttempt(outcome, scope.context().nowMillis());
            placement.cancelled();
            placement = null;
        }
        if (cancellation != null) {
            cancellation.run();
            cancellation = null;
        }
    }

    private void traceAttempt(String outcome, long now) {
        scope.trace().written(listener.writing);
        scope.trace().attempt(placement.record(), outcome, relay.summary(), sentMillis, now);
    }

    /** Retries at another endpoint if the route, the attempt limit and the time left allow it. */
    private void retry(RetryReason reason) {
        long now = scope.context().nowMillis();
        placement.failed(reason, now);
        if (reason.mayBeCrash()) {
            scope.trace().suspected(scope.context().crashes().lost(admitted, placement.record(), sentMillis, now));
        } else if (reason == RetryReason.FAILED) {
            answered(relay.head(), now);
        }
        abandon(reason.code());
        if (scope.isDone()) {
            turn.closeIncomplete(tokens);
            return;
        }
        if (!reason.mayHaveRun()) {
            possibleRuns--;
            rejections++;
            if (rejections > MAX_REJECTIONS) {
                refuseWithoutEndpoint();
                return;
            }
        } else if (!admitted.route().mayRepeat()
                || possibleRuns >= admitted.route().maxAttempts()
                || !relay.sequence().isResumable()) {
            refuse(RefusalReason.ENDPOINT_LOST, 0);
            return;
        }
        scope.context().counters().retried(reason);
        send();
    }

    /** Records that the endpoint has run the request if its response proves so. */
    private void answered(ResponseHead head, long now) {
        if (head.signature()) {
            scope.context().crashes().answered(admitted, placement.record(), now);
        }
    }

    private void complete(ResponseHead head) {
        cancelTimeouts();
        relay.release();
        long now = scope.context().nowMillis();
        double millis = (double) (now - sentMillis) / Math.max(1, relay.eventCount());
        placement.succeeded(admitted.route().name(), millis, now);
        answered(head, now);
        traceAttempt("ok", now);
        placement = null;
        cancellation = null;
        if (!relay.isStream()) {
            turn.closeIncomplete(tokens);
            scope.answer(head, relay.body(), tokens);
            return;
        }
        scope.context().eventDistances().streamCompleted(admitted.service().name(), relay.sequence());
        long total = tokens;
        turn.complete(total, relay.output()).whenComplete((done, failure) -> {
            if (failure == null) {
                scope.end(head, total);
            } else {
                // The endpoint ran the turn, so the refusal must not state that it did not run.
                scope.refuse(RefusalReason.OUTCOME_UNCONFIRMED);
            }
        });
    }

    /** Receives the response to one attempt; ignores callbacks of attempts that were abandoned. */
    private final class Listener implements EndpointListener {
        private final int attempt;
        private volatile RequestTrace.Writing writing = RequestTrace.Writing.NONE;

        Listener(int attempt) {
            this.attempt = attempt;
        }

        @Override
        public void written(long timeLeftMillis) {
            // The client may call this while it sends another request, whose lock the calling thread then holds.
            writing = new RequestTrace.Writing(scope.context().nowMillis(), timeLeftMillis);
        }

        @Override
        public void head(ResponseHead head) {
            synchronized (scope) {
                if (isCurrent()) {
                    RetryReason reason = relay.checkHead(
                            head, possibleRuns < admitted.route().maxAttempts(), scope.hasStreamStarted());
                    if (reason == null || reason.isAnswered()) {
                        placement.limitStated(
                                head.requestLimit(), scope.context().nowMillis());
                        if (head.leaving()) {
                            placement.leavingStated(System.currentTimeMillis());
                        }
                    }
                    if (reason != null) {
                        retry(reason);
                    } else if (relay.isStream()) {
                        watchProgress(attempt);
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
                List<StreamEvent> newEvents = relay.processData(data);
                lastEventId = relay.lastEventId();
                if (!newEvents.isEmpty()) {
                    versions.bind(placement.record().softwareVersion());
                }
                for (StreamEvent event : newEvents) {
                    if (event.hasData()) {
                        progress.eventReceived(scope.context().nowMillis());
                    }
                    tokens += relay.tokens(event);
                    scope.chunk(relay.head(), event.bytes());
                }
                // Passing events on may have ended the request, if its caller was found to be gone.
                if (relay.fault() != null && isCurrent()) {
                    retry(relay.fault());
                }
            }
        }

        @Override
        public void end() {
            synchronized (scope) {
                if (isCurrent()) {
                    RetryReason reason = relay.checkEnd();
                    if (reason == null) {
                        complete(relay.head());
                    } else {
                        retry(reason);
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
            return attempt == currentAttempt && placement != null;
        }
    }
}
