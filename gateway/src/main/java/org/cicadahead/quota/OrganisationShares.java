package org.cicadahead.quota;

import java.util.HashMap;
import java.util.Map;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShare;
import org.cicadahead.site.SiteOrganisation;

/** The shares of one organisation at all entries. */
final class OrganisationShares {
    /** The part of an entry's demand in the mean of the last asks; smooths short bursts. */
    private static final double DEMAND_GAIN = 0.5;
    /** The weight of an entry without demand against one with the mean demand, so that it can begin to serve. */
    private static final double IDLE_WEIGHT = 0.05;

    /** A share is at most this much above the demand, so that the rest is there for all. */
    private static final double DEMAND_ROOM = 1.3;
    /** A share's burst, in seconds of its rate; larger bursts are served from what is not shared. */
    private static final double BURST_SECONDS = 0.3;

    /**
     * The least share of a rate, per second. Below it a share is full most of the time and what it spills comes back
     * too late; its requests are served one by one from the reserve.
     */
    private static final double LEAST_RATE = 3;

    private static final double UNKNOWN = -1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Share> shares = new HashMap<>();
    private final long adoptUntilMillis;
    private double reserveTokens;
    private long refilledMillis;

    /** What an entry holds, or may hold as long as it has not confirmed a smaller share. */
    private static final class Share {
        private double rate;
        private double burst;
        private double grantedRate;
        private double grantedBurst;
        private double demand;
        private double spilled = UNKNOWN;
        private long expiresMillis;
    }

    OrganisationShares(long beganMillis, double reserveTokens) {
        this.reserveTokens = reserveTokens;
        this.adoptUntilMillis = beganMillis + QuotaTable.LEASE_MILLIS;
        this.refilledMillis = beganMillis;
    }

    QuotaShare ask(String entry, QuotaNeed need, SiteOrganisation limits, long nowMillis) {
        refill(limits, nowMillis);
        shares.values().removeIf(share -> share.expiresMillis <= nowMillis);
        Share share = shares.computeIfAbsent(entry, name -> new Share());
        share.demand += DEMAND_GAIN * (need.demandPerSecond() - share.demand);
        confirm(share, need);
        takeBack(share, need.spilled(), limits.burst());
        double rateRoom = limits.ratePerSecond() * QuotaTable.SHARED_PART - othersRate(share);
        double burstRoom = limits.burst() * QuotaTable.SHARED_PART - othersBurst(share);
        if (nowMillis < adoptUntilMillis) {
            // Entries that have not asked yet may hold the rest under the leader before.
            rateRoom = Math.min(rateRoom, need.heldRate());
            burstRoom = Math.min(burstRoom, need.heldBurst());
        }
        double fair = limits.ratePerSecond() * QuotaTable.SHARED_PART * part(share);
        double rate = Math.max(0, Math.min(rateRoom, Math.min(fair, DEMAND_ROOM * share.demand)));
        double burst = Math.max(0, Math.min(burstRoom, Math.max(1, BURST_SECONDS * rate)));
        if (burst < 1 || rate < LEAST_RATE) {
            rate = 0;
            burst = 0;
        }
        double tokens = Math.max(0, Math.min(reserveTokens, burst - share.burst));
        reserveTokens -= tokens;
        share.grantedRate = rate;
        share.grantedBurst = burst;
        share.rate = Math.max(share.rate, rate);
        share.burst = Math.max(share.burst, burst);
        share.expiresMillis = nowMillis + QuotaTable.LEASE_MILLIS;
        return new QuotaShare(need.organisation(), rate, burst, tokens, takeReserve(need.urgent(), limits.burst()));
    }

    /** An entry that holds what it was granted last holds nothing more; else it may still hold what it had before. */
    private static void confirm(Share share, QuotaNeed need) {
        boolean took = need.heldRate() <= share.grantedRate && need.heldBurst() <= share.grantedBurst;
        share.rate = took ? share.grantedRate : Math.max(share.rate, need.heldRate());
        share.burst = took ? share.grantedBurst : Math.max(share.burst, need.heldBurst());
    }

    /** Adds what the entry has left over since its last ask to the reserve; the first tells only where it stands. */
    private void takeBack(Share share, double spilled, double burst) {
        if (share.spilled >= 0 && spilled > share.spilled) {
            reserveTokens = Math.min(burst - othersBurst(null), reserveTokens + spilled - share.spilled);
        }
        share.spilled = Math.max(share.spilled, spilled);
    }

    /** Returns the part of the shared rate that fits the entry's part of the demand. */
    private double part(Share share) {
        double sum = shares.values().stream().mapToDouble(each -> each.demand).sum();
        double idle = Math.max(IDLE_WEIGHT * sum / shares.size(), Double.MIN_NORMAL);
        double weights = shares.values().stream()
                .mapToDouble(each -> Math.max(each.demand, idle))
                .sum();
        return Math.max(share.demand, idle) / weights;
    }

    private double othersRate(Share own) {
        return shares.values().stream()
                .filter(share -> share != own)
                .mapToDouble(share -> share.rate)
                .sum();
    }

    private double othersBurst(Share own) {
        return shares.values().stream()
                .filter(share -> share != own)
                .mapToDouble(share -> share.burst)
                .sum();
    }

    /** What is not shared fills the reserve: rate and burst of the organisation less all shares. */
    private void refill(SiteOrganisation limits, long nowMillis) {
        double rate = Math.max(0, limits.ratePerSecond() - othersRate(null));
        double burst = Math.max(0, limits.burst() - othersBurst(null));
        double added = rate * (nowMillis - refilledMillis) / MILLIS_PER_SECOND;
        reserveTokens = Math.min(burst, reserveTokens + Math.max(0, added));
        refilledMillis = nowMillis;
    }

    /** Serves waiting requests in the order of their priority class, and leaves the rest to those that go before. */
    private int takeReserve(Map<PriorityClass, Integer> urgent, double burst) {
        int taken = 0;
        for (PriorityClass priority : PriorityClass.values()) {
            double available = Math.floor(reserveTokens - priority.floor() * burst);
            int granted = (int) Math.max(0, Math.min(urgent.getOrDefault(priority, 0), available));
            reserveTokens -= granted;
            taken += granted;
        }
        return taken;
    }
}
