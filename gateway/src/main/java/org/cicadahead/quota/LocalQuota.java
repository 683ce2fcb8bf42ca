package org.cicadahead.quota;

import java.util.Map;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShare;

/**
 * The share of one organisation's rate at one entry. Not safe for use by several threads.
 *
 * <p>The first use is {@link #create(String, long)}.
 */
public final class LocalQuota {
    /** How long extra requests may be used, in milliseconds. */
    static final long EXTRA_MILLIS = 1_000;
    /** The demand is the mean over about this time, in milliseconds. */
    private static final double DEMAND_MILLIS = 1_500;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String organisation;
    private double rate;
    private double burst;
    private double tokens;
    private double spilled;
    private long refilledMillis;
    private long expiresMillis;
    private int extra;
    private long extraUntilMillis;
    private double demand;
    private long demandMillis;

    private LocalQuota(String organisation, long nowMillis) {
        this.organisation = organisation;
        this.refilledMillis = nowMillis;
        this.demandMillis = nowMillis;
    }

    /**
     * Returns a quota of nothing.
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
    public void arrived(long nowMillis) {
        decay(nowMillis);
        demand += MILLIS_PER_SECOND / DEMAND_MILLIS;
    }

    /**
     * Admits a request if there is a token for its priority class.
     *
     * @param priority the priority class of the request
     * @param nowMillis monotonic time in milliseconds
     * @return true if it is admitted
     */
    public boolean tryTake(PriorityClass priority, long nowMillis) {
        refill(nowMillis);
        if (tokens >= 1 + priority.floor() * burst) {
            tokens--;
            return true;
        }
        if (extra > 0 && nowMillis < extraUntilMillis) {
            extra--;
            return true;
        }
        return false;
    }

    /**
     * Takes back the token of a request that was admitted and did not run.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void giveBack(long nowMillis) {
        refill(nowMillis);
        if (nowMillis < expiresMillis) {
            double next = tokens + 1;
            tokens = Math.min(burst, next);
            spilled += next - tokens;
        }
    }

    /**
     * Takes a share from the leader. A larger burst adds only the tokens that come with it, as another entry may have
     * used the rest.
     *
     * @param share the share
     * @param sentMillis the monotonic time at which it was asked for, in milliseconds
     * @param validMillis how long it holds from then on
     * @param nowMillis monotonic time in milliseconds
     */
    public void grant(QuotaShare share, long sentMillis, long validMillis, long nowMillis) {
        refill(nowMillis);
        rate = share.rate();
        burst = share.burst();
        tokens = Math.min(tokens + share.tokens(), burst);
        expiresMillis = sentMillis + validMillis;
        if (share.extra() > 0) {
            extra = (nowMillis < extraUntilMillis ? extra : 0) + share.extra();
            extraUntilMillis = sentMillis + EXTRA_MILLIS;
        }
    }

    /**
     * Follows a change of the organisation's rate before the leader is asked again.
     *
     * @param factor the new rate in parts of the old one; a larger rate changes nothing
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
     * Returns what to tell the leader.
     *
     * @param urgent how many requests wait, by their priority class
     * @param nowMillis monotonic time in milliseconds
     * @return the line
     */
    public QuotaNeed need(Map<PriorityClass, Integer> urgent, long nowMillis) {
        decay(nowMillis);
        refill(nowMillis);
        boolean held = nowMillis < expiresMillis;
        return new QuotaNeed(organisation, demand, held ? rate : 0, held ? burst : 0, spilled, urgent);
    }

    /**
     * Returns after what time the share alone admits a request.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return the time in milliseconds, at least 1; a second if there is no share
     */
    public long turnMillis(long nowMillis) {
        refill(nowMillis);
        if (rate <= 0 || nowMillis >= expiresMillis) {
            return (long) MILLIS_PER_SECOND;
        }
        return Math.max(1, (long) Math.ceil((1 - tokens) / rate * MILLIS_PER_SECOND));
    }

    /**
     * Returns after what time another request may be admitted, by the share or by the rate of all entries.
     *
     * @param ratePerSecond the rate of the organisation over all entries
     * @param nowMillis monotonic time in milliseconds
     * @return the time in milliseconds, at least 1
     */
    public long retryAfterMillis(double ratePerSecond, long nowMillis) {
        return Math.min(turnMillis(nowMillis), (long) Math.ceil(MILLIS_PER_SECOND / Math.max(1, ratePerSecond)));
    }

    /**
     * Returns whether nobody has asked for a while, so that the quota may be forgotten.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true if it is idle
     */
    public boolean isIdle(long nowMillis) {
        decay(nowMillis);
        return demand < 0.001 && nowMillis >= expiresMillis;
    }

    private void decay(long nowMillis) {
        demand *= Math.exp(-(nowMillis - demandMillis) / DEMAND_MILLIS);
        demandMillis = nowMillis;
    }

    private void refill(long nowMillis) {
        long until = Math.min(nowMillis, expiresMillis);
        if (until > refilledMillis) {
            double next = tokens + rate * (until - refilledMillis) / MILLIS_PER_SECOND;
            tokens = Math.min(burst, next);
            spilled += next - tokens;
        }
        refilledMillis = Math.max(refilledMillis, nowMillis);
        if (nowMillis >= expiresMillis) {
            tokens = 0;
        }
    }
}
