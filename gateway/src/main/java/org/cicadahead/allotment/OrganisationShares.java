package org.cicadahead.allotment;

import java.util.HashMap;
import java.util.Map;
import org.cicadahead.fleet.Allotment;
import org.cicadahead.fleet.AllotmentNeed;
import org.cicadahead.site.SiteOrganisation;

/** The shares of one organisation at all entries. */
final class OrganisationShares {
    /** The part of an entry's demand in the mean of the last asks; smooths short bursts. */
    private static final double DEMAND_GAIN = 0.5;
    /** The weight of an entry without demand against one with the mean demand, so that it can begin to serve. */
    private static final double IDLE_WEIGHT = 0.05;

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
        private long expiresMillis;
    }

    OrganisationShares(long beganMillis) {
        this.adoptUntilMillis = beganMillis + AllotmentTable.LEASE_MILLIS;
        this.refilledMillis = beganMillis;
    }

    Allotment ask(String entry, AllotmentNeed need, SiteOrganisation limits, long nowMillis) {
        refill(limits, nowMillis);
        shares.values().removeIf(share -> share.expiresMillis <= nowMillis);
        Share share = shares.computeIfAbsent(entry, name -> new Share());
        share.demand += DEMAND_GAIN * (need.demandPerSecond() - share.demand);
        confirm(share, need);
        double rateRoom = limits.ratePerSecond() * AllotmentTable.SHARED_PART - othersRate(share);
        double burstRoom = limits.burst() * AllotmentTable.SHARED_PART - othersBurst(share);
        if (nowMillis < adoptUntilMillis) {
            // Entries that have not asked yet may hold the rest under the leader before.
            rateRoom = Math.min(rateRoom, need.heldRate());
            burstRoom = Math.min(burstRoom, need.heldBurst());
        }
        double part = part(share);
        double rate = Math.max(0, Math.min(rateRoom, limits.ratePerSecond() * AllotmentTable.SHARED_PART * part));
        double burst =
                Math.max(0, Math.min(burstRoom, Math.max(1, limits.burst() * AllotmentTable.SHARED_PART * part)));
        if (burst < 1) {
            burst = 0;
        }
        double tokens = Math.max(0, Math.min(reserveTokens, burst - share.burst));
        reserveTokens -= tokens;
        share.grantedRate = rate;
        share.grantedBurst = burst;
        share.rate = Math.max(share.rate, rate);
        share.burst = Math.max(share.burst, burst);
        share.expiresMillis = nowMillis + AllotmentTable.LEASE_MILLIS;
        return new Allotment(need.organisation(), rate, burst, tokens, takeReserve(need.urgent()));
    }

    /** An entry that holds what it was granted last holds nothing more; else it may still hold what it had before. */
    private static void confirm(Share share, AllotmentNeed need) {
        boolean took = need.heldRate() <= share.grantedRate && need.heldBurst() <= share.grantedBurst;
        share.rate = took ? share.grantedRate : Math.max(share.rate, need.heldRate());
        share.burst = took ? share.grantedBurst : Math.max(share.burst, need.heldBurst());
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

    private int takeReserve(int wanted) {
        int taken = (int) Math.max(0, Math.min(wanted, Math.floor(reserveTokens)));
        reserveTokens -= taken;
        return taken;
    }
}
