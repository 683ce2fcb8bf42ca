package org.cicadahead.quota;

import java.util.Map;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShare;

/**
 * An entry's share of one organisation's rate, as a token bucket under a lease. Not thread-safe.
 *
 * <p>Create one with {@link #create(String, long)}.
 */
public final class LocalQuota {
    /** The time for which extra requests that the leader granted from its reserve may be used, in milliseconds. */
    static final long EXTRA_VALID_MILLIS = 1_000;
    /** The time constant of the mean demand, in milliseconds. */
    private static final double DEMAND_WINDOW_MILLIS = 1_500;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String organisation;
    private double rate;
    private double burst;
    private double tokens;
    private double overflow;
    private long refilledMillis;
    private long expiresMillis;
    private int extra;
    private long extraExpiresMillis;
    private double demand;
    private long demandMillis;

    private LocalQuota(String organisation, long nowMillis) {
        this.organisation = organisation;
        this.refilledMillis = nowMillis;
        this.demandMillis = nowMillis;
    }

    /**
     * Returns an empty quota.
     *
     * @param organisation the name of the organisation
     * @param nowMillis monotonic time in milliseconds
     * @return the quota
     */
    public static LocalQuota create(String organisation, long nowMillis) {
        return new LocalQuota(organisation, nowMillis);
    }

    /**
     * Counts a request as demand.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordArrival(long nowMillis) {
        decayDemand(nowMillis);
        demand += MILLIS_PER_SECOND / DEMAND_WINDOW_MILLIS;
    }

    /**
     * Takes a token for a request, if the bucket has one for its priority class or an extra request is left.
     *
     * @param priority the priority class of the request
     * @param nowMillis monotonic time in milliseconds
     * @return true if it is admitted
     */
    public boolean tryAcquire(PriorityClass priority, long nowMillis) {
        refill(nowMillis);
        if (tokens >= 1 + priority.reservedBurst() * burst) {
            tokens--;
            return true;
        }
        if (extra > 0 && nowMillis < extraExpiresMillis) {
            extra--;
            return true;
        }
        return false;
    }

    /**
     * Returns the token of a request that was admitted but did not run.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void refund(long nowMillis) {
        refill(nowMillis);
        if (nowMillis < expiresMillis) {
            double next = tokens + 1;
            tokens = Math.min(burst, next);
            overflow += next - tokens;
        }
    }

    /**
     * Applies a share granted by the leader. A larger burst adds only the tokens granted with it, because another entry
     * may have used the rest.
     *
     * @param share the share
     * @param sentMillis the monotonic time at which the share was requested, in milliseconds
     * @param validMillis the duration of the lease from then on, in milliseconds
     * @param nowMillis monotonic time in milliseconds
     */
    public void grant(QuotaShare share, long sentMillis, long validMillis, long nowMillis) {
        refill(nowMillis);
        rate = share.rate();
        burst = share.burst();
        tokens = Math.min(tokens + share.tokens(), burst);
        expiresMillis = sentMillis + validMillis;
        if (share.extra() > 0) {
            extra = (nowMillis < extraExpiresMillis ? extra : 0) + share.extra();
            extraExpiresMillis = sentMillis + EXTRA_VALID_MILLIS;
        }
    }

    /**
     * Applies a reduction of the organisation's rate before the leader grants a new share.
     *
     * @param factor the new rate as a fraction of the old one; a factor of 1 or more has no effect
     * @param nowMillis monotonic time in milliseconds
     */
    public void scale(double factor, long nowMillis) {
        if (factor < 1) {
            refill(nowMillis);
            rate *= factor;
            burst *= factor;
            tokens = Math.min(tokens, burst);
            extra = (int) (extra * factor);
        }
    }

    /**
     * Returns the demand and the share held, as reported to the leader.
     *
     * @param urgent the number of waiting requests by priority class
     * @param nowMillis monotonic time in milliseconds
     * @return the need
     */
    public QuotaNeed need(Map<PriorityClass, Integer> urgent, long nowMillis) {
        decayDemand(nowMillis);
        refill(nowMillis);
        boolean leaseValid = nowMillis < expiresMillis;
        return new QuotaNeed(organisation, demand, leaseValid ? rate : 0, leaseValid ? burst : 0, overflow, urgent);
    }

    /**
     * Returns the time until the token bucket of the share holds a token, without a further grant.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return the time in milliseconds, at least 1; one second if there is no valid share
     */
    public long nextTokenMillis(long nowMillis) {
        refill(nowMillis);
        if (rate <= 0 || nowMillis >= expiresMillis) {
            return (long) MILLIS_PER_SECOND;
        }
        return Math.max(1, (long) Math.ceil((1 - tokens) / rate * MILLIS_PER_SECOND));
    }

    /**
     * Returns the time until another request may be admitted, by this share or by the rate over all entries.
     *
     * @param ratePerSecond the rate of the organisation over all entries
     * @param nowMillis monotonic time in milliseconds
     * @return the time in milliseconds, at least 1
     */
    public long retryAfterMillis(double ratePerSecond, long nowMillis) {
        return Math.min(nextTokenMillis(nowMillis), (long) Math.ceil(MILLIS_PER_SECOND / Math.max(1, ratePerSecond)));
    }

    /**
     * Returns whether there has been no demand for a while and the lease has expired, so that the quota may be dropped.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true if it is idle
     */
    public boolean isIdle(long nowMillis) {
        decayDemand(nowMillis);
        return demand < 0.001 && nowMillis >= expiresMillis;
    }

    private void decayDemand(long nowMillis) {
        demand *= Math.exp(-(nowMillis - demandMillis) / DEMAND_WINDOW_MILLIS);
        demandMillis = nowMillis;
    }

    private void refill(long nowMillis) {
        long until = Math.min(nowMillis, expiresMillis);
        if (until > refilledMillis) {
            double next = tokens + rate * (until - refilledMillis) / MILLIS_PER_SECOND;
            tokens = Math.min(burst, next);
            overflow += next - tokens;
        }
        refilledMillis = Math.max(refilledMillis, nowMillis);
        if (nowMillis >= expiresMillis) {
            tokens = 0;
        }
    }
}
