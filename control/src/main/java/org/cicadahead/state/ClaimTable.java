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
 * Claims of requests that may not be repeated. Not safe for use by several threads.
 *
 * <p>A claim is forgotten {@value #RETENTION_MILLIS} ms (24 h) after its last change, unless it is STARTED. At most
 * once holds over that time: a caller must not resend under the same idempotency key later. Fencing tokens come from
 * one counter for all claims, so that a start that is late by more than the retention meets no claim with its token.
 */
public final class ClaimTable {
    /** For how long a claim is kept after its last change, in milliseconds. */
    public static final long RETENTION_MILLIS = 24 * 60 * 60 * 1_000L;
    /**
     * After this time another attempt may take over a pending claim, in milliseconds. It is the silence after which the
     * transport takes a peer for lost, so that a caller whose entry was killed can run its request again after 3 s.
     * Taking over early is safe, as the first attempt then cannot start. An entry whose request waits in a queue renews
     * the lease every second by sending its BeginClaim again.
     */
    public static final long PENDING_LEASE_MILLIS = 3_000;

    private static final Done FENCED = Done.refused("another attempt has taken over the claim");
    private static final Done NOT_FOUND = Done.refused("the claim does not exist");

    /** In order of the last change, on every replica. */
    private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();

    private final Map<EndpointId, TreeMap<Long, Integer>> started = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final LongSupplier fences;

    ClaimTable(LongSupplier fences) {
        this.fences = fences;
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
     * Returns the endpoints with started claims, each with the generations that started them.
     *
     * @return the lowest and highest generation by endpoint, in order of endpoint
     */
    public List<StartedClaims> startedByEndpoint() {
        List<StartedClaims> result = new ArrayList<>();
        started.forEach((endpoint, generations) ->
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
        return close(nowMillis, claim, claim.state() == ClaimState.PENDING);
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
        return close(nowMillis, claim, open);
    }

    Done orphan(long nowMillis, OrphanClaims command) {
        TreeMap<Long, Integer> generations = started.get(command.endpoint());
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
        long fence = fences.getAsLong();
        put(Claim.pending(command.key(), command.digest(), fence, command.nonce(), nowMillis));
        return new ClaimReply(ClaimOutcome.GRANTED, fence, null);
    }

    private Done close(long nowMillis, Claim claim, boolean open) {
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
        Claim before = claims.remove(claim.key());
        claims.put(claim.key(), claim);
        changes.addLast(new Change(claim.changedMillis(), claim.key()));
        if (before != null && before.state() == ClaimState.STARTED) {
            decrementStarted(before);
        }
        if (claim.state() == ClaimState.STARTED) {
            started.computeIfAbsent(claim.endpoint(), e -> new TreeMap<>()).merge(claim.generation(), 1, Integer::sum);
        }
    }

    private void decrementStarted(Claim claim) {
        TreeMap<Long, Integer> generations = started.get(claim.endpoint());
        generations.computeIfPresent(claim.generation(), (g, count) -> count == 1 ? null : count - 1);
        if (generations.isEmpty()) {
            started.remove(claim.endpoint());
        }
    }

    /** When a claim changed, for its retention. */
    private record Change(long atMillis, ClaimKey key) {}

    /**
     * The started claims of an endpoint.
     *
     * @param endpoint the endpoint
     * @param lowestGeneration the lowest generation of its daemon that started one
     * @param highestGeneration the highest one
     */
    public record StartedClaims(EndpointId endpoint, long lowestGeneration, long highestGeneration) {}
}
