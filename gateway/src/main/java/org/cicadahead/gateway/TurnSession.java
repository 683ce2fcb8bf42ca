package org.cicadahead.gateway;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cicadahead.fleet.CloseTurn;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.TurnOpened;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Done;

/**
 * A turn that the stores track: opened before the request is sent to an endpoint, and closed once.
 *
 * <p>A kept turn is closed before the caller receives the end of the response, because a later turn may refer to it
 * from then on. Other turns are closed in the background; until then they count against the budget with their maximum
 * number of tokens.
 */
final class TurnSession implements RequestScope.Stage, TurnCompletion {
    /** The timeout for opening a turn, in milliseconds; longer than a leader change of the stores. */
    private static final long OPEN_TIMEOUT_MILLIS = 2_000;
    /** The timeout for a confirmation by the hubs that all endpoints are known, in milliseconds; many round trips. */
    private static final long CONFIRM_TIMEOUT_MILLIS = 500;
    /** The time reserved for the endpoint after the turn is open, in milliseconds. */
    private static final long RESERVED_RUN_MILLIS = 100;

    private final RequestScope scope;
    private final AdmittedRequest admitted;
    private byte[] prompt = new byte[0];
    private boolean closed;

    private TurnSession(RequestScope scope, AdmittedRequest admitted) {
        this.scope = scope;
        this.admitted = admitted;
    }

    /** Opens the turn of a request and then sends the request to an endpoint. */
    static void open(RequestScope scope, AdmittedRequest admitted) {
        TurnSession session = new TurnSession(scope, admitted);
        if (!scope.enter(session)) {
            return;
        }
        CallerRequest caller = admitted.caller();
        byte[] cachedHistory = caller.previousTurn().isEmpty()
                ? null
                : scope.context().turnTexts().find(caller.previousTurn());
        Optional<String> version = session.versionToRecord();
        scope.context()
                .stores()
                .open(session.openTurn(version, cachedHistory != null), session.openTimeoutMillis())
                .whenComplete((opened, failure) -> {
                    if (failure == null) {
                        session.opened(opened, cachedHistory, version);
                    } else {
                        session.notOpened(version);
                    }
                });
    }

    /** Returns the version of the endpoint that the request will probably be sent to, if it begins a stream there. */
    private Optional<String> versionToRecord() {
        return admitted.isResumable() && !admitted.resumesStream()
                ? scope.context()
                        .selector()
                        .likelyVersion(admitted, Set.of(), scope.context().nowMillis())
                : Optional.empty();
    }

    private OpenTurn openTurn(Optional<String> version, boolean knowsPrevious) {
        CallerRequest caller = admitted.caller();
        return new OpenTurn(
                caller.attempt(),
                admitted.organisationName(),
                admitted.program(),
                admitted.hasBudget() ? caller.programContext().budgetTokens() : -1,
                caller.maxTokens(),
                caller.previousTurn(),
                admitted.keepsTurn() ? caller.body() : null,
                admitted.route().retentionMillis(),
                knowsPrevious,
                version.orElse(null),
                admitted.resumesStream() ? caller.resumedAttempt() : "");
    }

    private long openTimeoutMillis() {
        long leftMillis = admitted.leftMillis(scope.context().nowMillis());
        return Math.max(1, Math.min(OPEN_TIMEOUT_MILLIS, leftMillis - RESERVED_RUN_MILLIS));
    }

    /**
     * Handles stores that did not confirm the turn. A stream that is not a turn is served all the same, but only by
     * endpoints of the version that the stores may have recorded.
     */
    private void notOpened(Optional<String> version) {
        if (!admitted.isTurn() && version.isPresent()) {
            sendToEndpoint(null, StreamVersions.only(version.get()));
            return;
        }
        closeIncomplete(0);
        scope.context().rateLimiter().refund(admitted.organisation());
        scope.refuse(RefusalReason.STORES_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<?> recordVersion(String version) {
        return scope.context()
                .stores()
                .open(openTurn(Optional.of(version), true), openTimeoutMillis())
                .thenAccept(opened -> {
                    if (opened.verdict() != TurnOpened.Verdict.OPEN) {
                        throw new IllegalStateException("the stores did not record the version: " + opened.verdict());
                    }
                });
    }

    @Override
    public void cancel() {
        closeIncomplete(0);
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
    public void closeIncomplete(long tokens) {
        if (markClosed()) {
            scope.context().stores().closeInBackground(close(tokens, null));
        }
    }

    @Override
    public CompletableFuture<Done> complete(long tokens, byte[] output) {
        if (!markClosed()) {
            return CompletableFuture.failedFuture(new IllegalStateException("the turn is already closed"));
        }
        CallerRequest caller = admitted.caller();
        if (!admitted.keepsTurn()) {
            scope.context().stores().closeInBackground(close(tokens, null));
            return CompletableFuture.completedFuture(Done.ok());
        }
        long left = Math.max(1, admitted.leftMillis(scope.context().nowMillis()));
        CloseTurn close = close(tokens, output);
        return scope.context().stores().close(close, left).whenComplete((done, failure) -> {
            if (failure == null) {
                scope.context().turnTexts().put(caller.attempt(), concat(prompt, output));
            } else {
                scope.context().stores().closeInBackground(close(tokens, null));
            }
        });
    }

    private void opened(TurnOpened opened, byte[] cachedHistory, Optional<String> recordedVersion) {
        scope.trace().opened(scope.context().nowMillis());
        if (opened.verdict() == TurnOpened.Verdict.OPEN) {
            byte[] history = opened.history() == null ? cachedHistory : opened.history();
            streamVersions(opened, recordedVersion)
                    .whenComplete((versions, failure) -> sendToVersions(history, failure == null ? versions : null));
        } else {
            scope.context().rateLimiter().refund(admitted.organisation());
            boolean budgetExhausted = opened.verdict() == TurnOpened.Verdict.BUDGET_SPENT;
            scope.refuse(budgetExhausted ? RefusalReason.BUDGET_EXHAUSTED : RefusalReason.TURN_UNKNOWN);
        }
    }

    /** Returns the versions that may serve the request; null if it resumes a stream of an unknown version. */
    private CompletableFuture<StreamVersions> streamVersions(TurnOpened opened, Optional<String> recordedVersion) {
        if (!admitted.isResumable()) {
            return CompletableFuture.completedFuture(StreamVersions.any());
        }
        if (!admitted.resumesStream()) {
            return CompletableFuture.completedFuture(
                    StreamVersions.ofNewStream(recordedVersion.stream().collect(Collectors.toSet())));
        }
        Set<String> began = opened.resumedVersions();
        // The part of the output that an earlier attempt sent is not stored, and a kept turn is kept as a whole.
        if (admitted.keepsTurn() || began.size() > 1) {
            return CompletableFuture.completedFuture(null);
        }
        return began.isEmpty()
                ? onlyKnownVersion()
                : CompletableFuture.completedFuture(
                        StreamVersions.only(began.iterator().next()));
    }

    /**
     * Returns the version of all endpoints of the service. An entry that is out of step with the hubs does not know all
     * of them, and the stream may have begun at one of the others.
     */
    private CompletableFuture<StreamVersions> onlyKnownVersion() {
        String service = admitted.service().name();
        EndpointSelector selector = scope.context().selector();
        if (selector.onlyVersion(service).isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        long leftMillis = admitted.leftMillis(scope.context().nowMillis()) - RESERVED_RUN_MILLIS;
        return scope.context()
                .fleetConfirmation()
                .confirm(Math.max(1, Math.min(CONFIRM_TIMEOUT_MILLIS, leftMillis)))
                .thenApply(current -> current
                        ? selector.onlyVersion(service)
                                .map(StreamVersions::only)
                                .orElse(null)
                        : null);
    }

    private void sendToVersions(byte[] history, StreamVersions versions) {
        if (versions == null) {
            refuseUnknownVersion();
        } else {
            sendToEndpoint(history, versions);
        }
    }

    private void refuseUnknownVersion() {
        closeIncomplete(0);
        scope.context().rateLimiter().refund(admitted.organisation());
        scope.refuse(RefusalReason.STREAM_VERSION_UNAVAILABLE);
    }

    private void sendToEndpoint(byte[] history, StreamVersions versions) {
        CallerRequest caller = admitted.caller();
        if (history == null && !caller.previousTurn().isEmpty()) {
            closeIncomplete(0);
            scope.refuse(RefusalReason.STORES_UNAVAILABLE);
            return;
        }
        prompt = history == null ? caller.body() : concat(history, caller.body());
        EndpointAttempts.start(scope, admitted, prompt, this, versions);
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

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] joined = new byte[first.length + second.length];
        System.arraycopy(first, 0, joined, 0, first.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
