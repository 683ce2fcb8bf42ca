package org.cicadahead.quota;

import java.util.HashMap;
import java.util.Map;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShare;
import org.cicadahead.site.SiteOrganisation;

/**
 * The shares that the entries hold of one organisation's rate, and the reserve of tokens that is not leased as shares.
 * Not thread-safe.
 */
final class OrganisationShares {
    /** The weight of a new demand report in an entry's mean demand; smooths short bursts. */
    private static final double DEMAND_SMOOTHING = 0.5;
    /** The minimum weight of an entry as a fraction of the mean demand, so that an idle entry can begin to serve. */
    private static final double MIN_WEIGHT = 0.05;

    /** The maximum ratio of a share to the entry's demand; the rest of the rate stays available to all entries. */
    private static final double MAX_DEMAND_RATIO = 1.3;
    /** The burst of a share, in seconds of its rate; larger bursts are served from the reserve. */
    private static final double BURST_SECONDS = 0.3;

    /**
     * The minimum rate of a share, per second. The token bucket of a smaller share would be full most of the time, and
     * the tokens that overflow would return to the reserve too late. An entry with so little demand gets no share and
     * is granted single requests from the reserve.
     */
    private static final double MIN_RATE = 3;

    /**
     * The part of the tolerance that is lent to requests of programs that have started, as a fraction.
     *
     * <p>Load pattern: the requests of one program come in clumps (a turn, then several calls at once) that exceed a
     * small rate and burst, though the organisation is within its rate in the mean. Without an overdraft the program
     * fails at one of its last calls. The debt is repaid from the rate before another program is admitted, except for
     * urgent ones, which may use a part of the overdraft themselves.
     */
    static final double OVERDRAFT_FRACTION = 0.25;

    private static final double UNKNOWN = -1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Share> shares = new HashMap<>();
    private final long previousLeasesEndMillis;
    private final long overdraftStartMillis;
    private final QuotaTolerance tolerance;
    private double reserveTokens;
    private long refilledMillis;

    /** The share that an entry holds, or may still hold until it has confirmed a smaller one. */
    private static final class Share {
        private double assumedRate;
        private double assumedBurst;
        private double grantedRate;
        private double grantedBurst;
        private double demand;
        private double overflow = UNKNOWN;
        private long expiresMillis;
    }

    OrganisationShares(long startMillis, double reserveTokens, QuotaTolerance tolerance) {
        this.reserveTokens = reserveTokens;
        this.tolerance = tolerance;
        // The previous leader may have lent the overdraft in the same window.
        this.overdraftStartMillis = startMillis + (long) (tolerance.windowSeconds() * MILLIS_PER_SECOND);
        this.previousLeasesEndMillis = startMillis + QuotaTable.LEASE_MILLIS;
        this.refilledMillis = startMillis;
    }

    QuotaShare grant(String entry, QuotaNeed need, SiteOrganisation limits, long nowMillis) {
        refill(limits, nowMillis);
        shares.values().removeIf(share -> share.expiresMillis <= nowMillis);
        Share share = shares.computeIfAbsent(entry, name -> new Share());
        share.demand += DEMAND_SMOOTHING * (need.demandPerSecond() - share.demand);
        updateAssumedShare(share, need);
        reclaimOverflow(share, need.spilled(), limits.burst());
        double availableRate = limits.ratePerSecond() * QuotaTable.SHARED_FRACTION - othersRate(share);
        double availableBurst = limits.burst() * QuotaTable.SHARED_FRACTION - othersBurst(share);
        if (nowMillis < previousLeasesEndMillis) {
            // Entries that have not reported yet may still hold shares of the previous leader.
            availableRate = Math.min(availableRate, need.heldRate());
            availableBurst = Math.min(availableBurst, need.heldBurst());
        }
        double fair = limits.ratePerSecond() * QuotaTable.SHARED_FRACTION * demandFraction(share);
        double rate = Math.max(0, Math.min(availableRate, Math.min(fair, MAX_DEMAND_RATIO * share.demand)));
        double burst = Math.max(0, Math.min(availableBurst, Math.max(1, BURST_SECONDS * rate)));
        if (burst < 1 || rate < MIN_RATE) {
            rate = 0;
            burst = 0;
        }
        double tokens = Math.max(0, Math.min(reserveTokens, burst - share.assumedBurst));
        reserveTokens -= tokens;
        share.grantedRate = rate;
        share.grantedBurst = burst;
        share.assumedRate = Math.max(share.assumedRate, rate);
        share.assumedBurst = Math.max(share.assumedBurst, burst);
        share.expiresMillis = nowMillis + QuotaTable.LEASE_MILLIS;
        return new QuotaShare(
                need.organisation(), rate, burst, tokens, grantFromReserve(need.urgent(), limits, nowMillis));
    }

    /**
     * Updates the share that the entry is assumed to hold: the last grant, once the entry reports no more than that, or
     * else the larger of the assumed and the reported share.
     */
    private static void updateAssumedShare(Share share, QuotaNeed need) {
        boolean confirmed = need.heldRate() <= share.grantedRate && need.heldBurst() <= share.grantedBurst;
        share.assumedRate = confirmed ? share.grantedRate : Math.max(share.assumedRate, need.heldRate());
        share.assumedBurst = confirmed ? share.grantedBurst : Math.max(share.assumedBurst, need.heldBurst());
    }

    /**
     * Adds the tokens that overflowed at the entry since its last report to the reserve. Reports are cumulative, so the
     * first one only sets the baseline.
     */
    private void reclaimOverflow(Share share, double overflow, double burst) {
        if (share.overflow >= 0 && overflow > share.overflow) {
            reserveTokens = Math.min(burst - othersBurst(null), reserveTokens + overflow - share.overflow);
        }
        share.overflow = Math.max(share.overflow, overflow);
    }

    /** Returns the fraction of the shared rate that matches the entry's fraction of the total demand. */
    private double demandFraction(Share share) {
        double sum = shares.values().stream().mapToDouble(each -> each.demand).sum();
        double minimum = Math.max(MIN_WEIGHT * sum / shares.size(), Double.MIN_NORMAL);
        double weights = shares.values().stream()
                .mapToDouble(each -> Math.max(each.demand, minimum))
                .sum();
        return Math.max(share.demand, minimum) / weights;
    }

    private double othersRate(Share own) {
        return shares.values().stream()
                .filter(share -> share != own)
                .mapToDouble(share -> share.assumedRate)
                .sum();
    }

    private double othersBurst(Share own) {
        return shares.values().stream()
                .filter(share -> share != own)
                .mapToDouble(share -> share.assumedBurst)
                .sum();
    }

    /** Refills the reserve at the organisation's rate minus all shares, up to its burst minus all shares. */
    private void refill(SiteOrganisation limits, long nowMillis) {
        double rate = Math.max(0, limits.ratePerSecond() - othersRate(null));
        double burst = Math.max(0, limits.burst() - othersBurst(null));
        double added = rate * (nowMillis - refilledMillis) / MILLIS_PER_SECOND;
        reserveTokens = Math.min(burst, reserveTokens + Math.max(0, added));
        refilledMillis = nowMillis;
    }

    /**
     * Grants reserve tokens to waiting requests in order of priority. A class gets only tokens above its floor, which
     * are left to the classes of higher priority; the floor of committed requests is below zero by the overdraft.
     */
    private int grantFromReserve(Map<PriorityClass, Integer> urgent, SiteOrganisation limits, long nowMillis) {
        double overdraft = nowMillis < overdraftStartMillis
                ? 0
                : OVERDRAFT_FRACTION * tolerance.requests(limits.ratePerSecond(), limits.burst());
        int taken = 0;
        for (PriorityClass priority : PriorityClass.values()) {
            double floor = priority.reservedBurst() * limits.burst() - priority.overdraft() * overdraft;
            double available = Math.floor(reserveTokens - floor);
            int granted = (int) Math.max(0, Math.min(urgent.getOrDefault(priority, 0), available));
            reserveTokens -= granted;
            taken += granted;
        }
        return taken;
    }
}
