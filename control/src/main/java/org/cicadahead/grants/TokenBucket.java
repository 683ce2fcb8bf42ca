package org.cicadahead.grants;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cicadahead.model.DaemonId;
import org.cicadahead.protocol.GrantUse;

/**
 * The token bucket of one organisation. Mutable and owned by {@link RateBuckets}.
 *
 * <p>Outstanding grants count as tokens that are still in the bucket: level + outstanding never exceeds the burst. So
 * the requests that entries admit in any window are at most what the bucket held at its start, at most the burst, and
 * the refill since.
 */
final class TokenBucket {
    /** An entry whose last request is older than this takes no part in sharing, in milliseconds. */
    static final long DEMAND_MILLIS = 2_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Map<String, IssuedGrant> grants = new LinkedHashMap<>();
    private final Map<DaemonId, Demand> demands = new HashMap<>();
    private final long inheritedExpiryMillis;
    private Rate rate;
    private long levelUnits;
    private long outstanding;
    private long inheritedOutstanding;
    private long refilledMillis;

    /**
     * Creates the bucket of a leader that began at a time.
     *
     * @param rate the rate
     * @param startMillis when the leader began
     * @param inheritedExpiryMillis until when grants of the leader before may be in use
     */
    TokenBucket(Rate rate, long startMillis, long inheritedExpiryMillis) {
        this.rate = rate;
        this.inheritedExpiryMillis = inheritedExpiryMillis;
        this.refilledMillis = startMillis;
        this.inheritedOutstanding = rate.outstandingLimit();
        this.outstanding = inheritedOutstanding;
    }

    /**
     * Brings the bucket to the present, with refill and expiry in the order in which they happened, and changes the
     * rate. When the rate changed since the last time is not known here, so the lower one fills the bucket until now.
     */
    void advance(long nowMillis, Rate newRate) {
        Rate before = rate;
        rate = new Rate(Math.min(before.unitsPerMilli(), newRate.unitsPerMilli()), before.burst());
        if (inheritedOutstanding > 0 && inheritedExpiryMillis <= nowMillis) {
            refill(inheritedExpiryMillis);
            outstanding -= inheritedOutstanding;
            inheritedOutstanding = 0;
        }
        Iterator<IssuedGrant> oldestFirst = grants.values().iterator();
        while (oldestFirst.hasNext()) {
            IssuedGrant grant = oldestFirst.next();
            if (grant.expiresMillis > nowMillis) {
                break;
            }
            refill(grant.expiresMillis);
            outstanding -= grant.outstanding();
            oldestFirst.remove();
        }
        refill(nowMillis);
        rate = newRate;
        levelUnits = Math.max(0, Math.min(levelUnits, roomUnits()));
    }

    void applyUse(GrantUse use) {
        IssuedGrant grant = grants.get(use.grantId());
        if (grant == null) {
            return;
        }
        long spent = Math.min(grant.requests, Math.max(grant.spent, use.spent()));
        outstanding -= spent - grant.spent;
        grant.spent = spent;
        if (use.closed() || grant.outstanding() == 0) {
            long unused = grant.outstanding();
            outstanding -= unused;
            grants.remove(grant.id);
            levelUnits = Math.min(Math.max(levelUnits, roomUnits()), levelUnits + unused * Rate.UNITS);
        }
    }

    void recordDemand(long nowMillis, DaemonId entry, int wanted) {
        demands.values().removeIf(d -> d.atMillis() + DEMAND_MILLIS <= nowMillis);
        if (wanted > 0) {
            demands.put(entry, new Demand(nowMillis, wanted));
        } else {
            demands.remove(entry);
        }
    }

    /** Returns how many requests can be granted: a share of what is there, so that no entry takes all. */
    long grantable(int wanted) {
        long available = Math.min(levelUnits / Rate.UNITS, rate.outstandingLimit() - outstanding);
        if (available <= 0 || wanted <= 0) {
            return 0;
        }
        long activeEntries = Math.max(1, demands.size());
        return Math.min(wanted, (available + activeEntries - 1) / activeEntries);
    }

    void issue(IssuedGrant grant) {
        levelUnits -= grant.requests * Rate.UNITS;
        outstanding += grant.requests;
        grants.put(grant.id, grant);
    }

    /** Returns whether the bucket still holds a request, counting grants, and demand is within the rate. */
    boolean isWithinRate() {
        long wanted = demands.values().stream().mapToLong(Demand::wanted).sum();
        long heldUnits = levelUnits + outstanding * Rate.UNITS;
        long nextSecondUnits = rate.refill(MILLIS_PER_SECOND, Long.MAX_VALUE / 2);
        return heldUnits >= Rate.UNITS && wanted <= (heldUnits + nextSecondUnits) / Rate.UNITS;
    }

    long retryAfterMillis(long nowMillis) {
        if (levelUnits >= Rate.UNITS && outstanding >= rate.outstandingLimit()) {
            long next = inheritedOutstanding > 0
                    ? inheritedExpiryMillis
                    : grants.values().stream()
                            .findFirst()
                            .map(g -> g.expiresMillis)
                            .orElse(nowMillis);
            return Math.max(1, next - nowMillis);
        }
        return Math.max(1, rate.refillMillis(Math.max(0, Rate.UNITS - levelUnits)));
    }

    long levelUnits() {
        return levelUnits;
    }

    long outstanding() {
        return outstanding;
    }

    private long roomUnits() {
        return (rate.burst() - outstanding) * Rate.UNITS;
    }

    private void refill(long untilMillis) {
        if (untilMillis > refilledMillis) {
            levelUnits += rate.refill(untilMillis - refilledMillis, roomUnits() - levelUnits);
            refilledMillis = untilMillis;
        }
    }

    /** What an entry wants in the next second. */
    private record Demand(long atMillis, int wanted) {}
}
