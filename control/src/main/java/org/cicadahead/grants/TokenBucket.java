package org.cicadahead.grants;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cicadahead.model.DaemonId;
import org.cicadahead.protocol.GrantUse;

/**
 * Token bucket of one organisation. Mutable; used only by {@link RateBuckets}.
 *
 * <p>Requests granted but not yet reported as spent are outstanding and still count against the capacity of the bucket:
 * level + outstanding never exceeds the burst. In any time window the entries therefore admit at most the content of
 * the bucket at the start of the window, which is at most the burst, plus the refill during the window.
 */
final class TokenBucket {
    /** Time after which the demand that an entry reported no longer counts, in milliseconds. */
    static final long DEMAND_RETENTION_MILLIS = 2_000;

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
     * Creates the bucket of a new leader. It starts empty, with the outstanding limit as the upper bound of what the
     * previous leader may have granted.
     *
     * @param rate the rate and burst of the organisation
     * @param startMillis when this leader took over
     * @param inheritedExpiryMillis until when entries may still use grants of the previous leader
     */
    TokenBucket(Rate rate, long startMillis, long inheritedExpiryMillis) {
        this.rate = rate;
        this.inheritedExpiryMillis = inheritedExpiryMillis;
        this.refilledMillis = startMillis;
        this.inheritedOutstanding = rate.outstandingLimit();
        this.outstanding = inheritedOutstanding;
    }

    /**
     * Applies the refills and the grant expiries up to the present in chronological order, then sets the new rate. The
     * time at which the rate changed is not known here, so the refill until the present uses the lower of the old and
     * the new rate.
     */
    void advance(long nowMillis, Rate newRate) {
        Rate oldRate = rate;
        rate = new Rate(Math.min(oldRate.unitsPerMilli(), newRate.unitsPerMilli()), oldRate.burst());
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
        levelUnits = Math.max(0, Math.min(levelUnits, maxLevelUnits()));
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
            levelUnits = Math.min(Math.max(levelUnits, maxLevelUnits()), levelUnits + unused * Rate.UNITS_PER_REQUEST);
        }
    }

    void recordDemand(long nowMillis, DaemonId entry, int wanted) {
        demands.values().removeIf(d -> d.atMillis() + DEMAND_RETENTION_MILLIS <= nowMillis);
        if (wanted > 0) {
            demands.put(entry, new Demand(nowMillis, wanted));
        } else {
            demands.remove(entry);
        }
    }

    /**
     * Returns how many requests can be granted to an entry: at most an equal share of the available ones among the
     * entries with demand.
     */
    long grantable(int wanted) {
        long available = Math.min(levelUnits / Rate.UNITS_PER_REQUEST, rate.outstandingLimit() - outstanding);
        if (available <= 0 || wanted <= 0) {
            return 0;
        }
        long activeEntries = Math.max(1, demands.size());
        return Math.min(wanted, (available + activeEntries - 1) / activeEntries);
    }

    void issue(IssuedGrant grant) {
        levelUnits -= grant.requests * Rate.UNITS_PER_REQUEST;
        outstanding += grant.requests;
        grants.put(grant.id, grant);
    }

    /**
     * Returns whether the organisation is within its rate: the level and the outstanding grants make up at least one
     * request, and with the refill of the next second they cover the whole demand.
     */
    boolean isWithinRate() {
        long wanted = demands.values().stream().mapToLong(Demand::wanted).sum();
        long heldUnits = levelUnits + outstanding * Rate.UNITS_PER_REQUEST;
        long nextSecondUnits = rate.refill(MILLIS_PER_SECOND, Long.MAX_VALUE / 2);
        return heldUnits >= Rate.UNITS_PER_REQUEST && wanted <= (heldUnits + nextSecondUnits) / Rate.UNITS_PER_REQUEST;
    }

    long retryAfterMillis(long nowMillis) {
        if (levelUnits >= Rate.UNITS_PER_REQUEST && outstanding >= rate.outstandingLimit()) {
            long nextExpiryMillis = inheritedOutstanding > 0
                    ? inheritedExpiryMillis
                    : grants.values().stream()
                            .findFirst()
                            .map(g -> g.expiresMillis)
                            .orElse(nowMillis);
            return Math.max(1, nextExpiryMillis - nowMillis);
        }
        return Math.max(1, rate.refillMillis(Math.max(0, Rate.UNITS_PER_REQUEST - levelUnits)));
    }

    long levelUnits() {
        return levelUnits;
    }

    long outstanding() {
        return outstanding;
    }

    private long maxLevelUnits() {
        return (rate.burst() - outstanding) * Rate.UNITS_PER_REQUEST;
    }

    private void refill(long untilMillis) {
        if (untilMillis > refilledMillis) {
            levelUnits += rate.refill(untilMillis - refilledMillis, maxLevelUnits() - levelUnits);
            refilledMillis = untilMillis;
        }
    }

    /** The requests that an entry wants in the next second. */
    private record Demand(long atMillis, int wanted) {}
}
