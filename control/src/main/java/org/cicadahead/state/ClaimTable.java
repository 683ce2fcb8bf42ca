package org.cicadahead.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.EndpointId;
import org.cicadahead.protocol.AbandonClaim;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.ClaimOutcome;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.FinishClaim;
import org.cicadahead.protocol.OrphanClaims;
import org.cicadahead.protocol.ReleaseClaim;
import org.cicadahead.protocol.StartClaim;

/**
 * Claims on the execution of non-repeatable requests. Not thread-safe.
 *
 * <p>A claim is removed {@value #RETENTION_MILLIS} ms (24 h) after its last change, unless it is STARTED. At-most-once
 * execution is guaranteed only during that time, so a caller must not resend later under the same idempotency key. All
 * claims take their fencing tokens from one counter, so that a StartClaim that arrives after the retention time cannot
 * match a newer claim under the same key.
 */
public final class ClaimTable {
    /** How long a claim is kept after its last change, in milliseconds. */
    public static final long RETENTION_MILLIS = 24 * 60 * 60 * 1_000L;
    /**
     * Lease of a pending claim, in milliseconds; after it another attempt may take the claim over. It equals the
     * timeout after which the transport considers a peer lost, so that a caller whose entry was killed can run its
     * request again after 3 s. An early takeover is safe, because the fencing token keeps the first attempt from
     * starting. An entry whose request is queued renews the lease every second by resending its BeginClaim.
     */
    public static final long PENDING_LEASE_MILLIS = 3_000;

    private static final Done FENCED = Done.refused("another attempt has taken over the claim");
    private static final Done NOT_FOUND = Done.refused("the claim does not exist");

    /** Ordered by last change; the order is the same on every replica. */
    private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();

    private final Map<EndpointId, TreeMap<Long, Integer>> startedCounts = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final LongSupplier fenceCounter;

    ClaimTable(LongSupplier fenceCounter) {
        this.fenceCounter = fenceCounter;
    }

    /**
     * Returns a claim.
     *
     * @param key the claim
     * @return the claim, if it is known
     */
    public Optional<Claim> find(ClaimKey key) {
        return Optional.ofNullable(claims.get(key));
    }

    /**
     * Returns the endpoints with started claims, each with the range of generations that started them.
     *
     * @return the lowest and highest generation of each endpoint, ordered by endpoint
     */
    public List<StartedClaims> startedByEndpoint() {
        List<StartedClaims> result = new ArrayList<>();
        startedCounts.forEach((endpoint, generations) ->
                result.add(new StartedClaims(endpoint, generations.firstKey(), generations.lastKey())));
        return result;
    }

    /**
     * Returns the number of claims.
     *
     * @return the number
     */
    public int size() {
        return claims.size();
    }

    ClaimReply begin(long nowMillis, BeginClaim command) {
        Claim claim = claims.get(command.key());
        if (claim == null) {
            return grant(nowMillis, command);
        }
        if (!claim.digest().equals(command.digest())) {
            return new ClaimReply(ClaimOutcome.REUSED, 0, null);
        }
        if (claim.state() == ClaimState.PENDING) {
            if (claim.nonce().equals(command.nonce())) {
                put(claim.renewed(nowMillis));
                return new ClaimReply(ClaimOutcome.GRANTED, claim.fence(), null);
            }
            if (claim.changedMillis() + PENDING_LEASE_MILLIS <= nowMillis) {
                return grant(nowMillis, command);
            }
        }
        if (claim.state() == ClaimState.RELEASED) {
            return grant(nowMillis, command);
        }
        return new ClaimReply(claim.state().outcomeForOthers(), 0, claim.outcome());
    }

    Done start(long nowMillis, StartClaim command) {
        Claim claim = claims.get(command.claim().key());
        if (claim == null) {
            return NOT_FOUND;
        }
        if (claim.isStartedBy(command.claim().fence(), command.run())) {
            return Done.ok();
        }
        if (claim.fence() != command.claim().fence()) {
            return FENCED;
        }
        if (claim.state() != ClaimState.PENDING) {
            return refusedInState(claim);
        }
        put(claim.started(command.endpoint(), command.generation(), command.run(), nowMillis));
        return Done.ok();
    }

    Done finish(long nowMillis, FinishClaim command) {
        Claim claim = claims.get(command.claim().key());
        if (claim == null) {
            return NOT_FOUND;
        }
        if (!claim.isAttempt(command.claim().fence(), command.run())) {
            return FENCED;
        }
        ClaimState end = command.outcome() == null ? ClaimState.UNKNOWN : ClaimState.DONE;
        if (claim.state() == end) {
            return Done.ok();
        }
        if (claim.state() != ClaimState.STARTED) {
            return refusedInState(claim);
        }
        put(claim.ended(end, command.outcome(), nowMillis));
        return Done.ok();
    }

    Done release(long nowMillis, ReleaseClaim command) {
        Claim claim = claims.get(command.claim().key());
        if (claim == null) {
            return NOT_FOUND;
        }
        if (claim.fence() != command.claim().fence()) {
            return FENCED;
        }
        return releaseIfOpen(nowMillis, claim, claim.state() == ClaimState.PENDING);
    }

    Done abandon(long nowMillis, AbandonClaim command) {
        Claim claim = claims.get(command.claim().key());
        if (claim == null) {
            return NOT_FOUND;
        }
        if (claim.fence() != command.claim().fence()) {
            return FENCED;
        }
        boolean open = claim.state() == ClaimState.PENDING
                || claim.isStartedBy(command.claim().fence(), command.run());
        return releaseIfOpen(nowMillis, claim, open);
    }

    Done orphan(long nowMillis, OrphanClaims command) {
        TreeMap<Long, Integer> generations = startedCounts.get(command.endpoint());
        if (generations == null || generations.firstKey() >= command.beforeGeneration()) {
            return Done.ok();
        }
        List<Claim> orphans = claims.values().stream()
                .filter(claim -> claim.state() == ClaimState.STARTED
                        && claim.endpoint().equals(command.endpoint())
                        && claim.generation() < command.beforeGeneration())
                .toList();
        orphans.forEach(claim -> put(claim.ended(ClaimState.UNKNOWN, null, nowMillis)));
        return Done.ok();
    }

    boolean hasExpired(long nowMillis) {
        Change oldest = changes.peekFirst();
        return oldest != null && oldest.atMillis() + RETENTION_MILLIS <= nowMillis;
    }

    void expire(long nowMillis) {
        while (hasExpired(nowMillis)) {
            Change change = changes.removeFirst();
            Claim claim = claims.get(change.key());
            if (claim != null
                    && claim.changedMillis() == change.atMillis()
                    && claim.state().isEvictable()) {
                claims.remove(change.key());
            }
        }
    }

    List<Claim> image() {
        return List.copyOf(claims.values());
    }

    void restore(List<Claim> image) {
        image.forEach(this::put);
    }

    private static Done refusedInState(Claim claim) {
        return Done.refused("the claim is " + claim.state());
    }

    private ClaimReply grant(long nowMillis, BeginClaim command) {
        long fence = fenceCounter.getAsLong();
        put(Claim.pending(command.key(), command.digest(), fence, command.nonce(), nowMillis));
        return new ClaimReply(ClaimOutcome.GRANTED, fence, null);
    }

    private Done releaseIfOpen(long nowMillis, Claim claim, boolean open) {
        if (claim.state() == ClaimState.RELEASED) {
            return Done.ok();
        }
        if (!open) {
            return refusedInState(claim);
        }
        put(claim.ended(ClaimState.RELEASED, null, nowMillis));
        return Done.ok();
    }

    private void put(Claim claim) {
        Claim previous = claims.remove(claim.key());
        claims.put(claim.key(), claim);
        changes.addLast(new Change(claim.changedMillis(), claim.key()));
        if (previous != null && previous.state() == ClaimState.STARTED) {
            decrementStarted(previous);
        }
        if (claim.state() == ClaimState.STARTED) {
            startedCounts
                    .computeIfAbsent(claim.endpoint(), e -> new TreeMap<>())
                    .merge(claim.generation(), 1, Integer::sum);
        }
    }

    private void decrementStarted(Claim claim) {
        TreeMap<Long, Integer> generations = startedCounts.get(claim.endpoint());
        generations.computeIfPresent(claim.generation(), (g, count) -> count == 1 ? null : count - 1);
        if (generations.isEmpty()) {
            startedCounts.remove(claim.endpoint());
        }
    }

    /** The time of a change of a claim, from which its retention counts. */
    private record Change(long atMillis, ClaimKey key) {}

    /**
     * The range of generations of an endpoint that have started claims.
     *
     * @param endpoint the endpoint
     * @param lowestGeneration the lowest generation of its daemon with a started claim
     * @param highestGeneration the highest generation of its daemon with a started claim
     */
    public record StartedClaims(EndpointId endpoint, long lowestGeneration, long highestGeneration) {}
}
