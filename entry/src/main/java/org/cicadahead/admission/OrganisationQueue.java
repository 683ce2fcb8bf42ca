package org.cicadahead.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantUse;

/** The grants and the waiting requests of one organisation at one entry. */
final class OrganisationQueue {
    /** The demand is measured over this time in milliseconds. */
    private static final long DEMAND_WINDOW_MILLIS = 250;
    /** Unused requests are returned this long before they expire, as an unreported grant counts as spent. */
    private static final long RETURN_AHEAD_MILLIS = 300;
    /** Uses are reported at least this often in milliseconds, as unreported ones stop the refill of the bucket. */
    private static final long REPORT_MILLIS = 100;

    /** A batch unanswered for this time, in milliseconds, means that control is changing its leader. */
    private static final long SLOW_ANSWER_MILLIS = 500;
    /** Requests asked for ahead beyond this number only; a seldom used grant would keep others from theirs. */
    private static final int UNPLANNED_REQUESTS = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final OrganisationId organisation;
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private final List<LocalGrant> grants = new ArrayList<>();
    private long windowStartMillis;
    private int windowCount;
    private int lastWindowCount;
    private long askedAtMillis = Long.MIN_VALUE / 2;
    private long notBeforeMillis = Long.MIN_VALUE;
    private boolean inFlight;
    private double ratePerSecond = 1;
    private long burst = 1;

    private static final class Waiter {
        private final long ticket;
        private final long sinceMillis;
        private final boolean hopeless;
        private boolean rateLimited;
        private boolean extended;

        Waiter(long ticket, long sinceMillis, boolean hopeless) {
            this.hopeless = hopeless;
            this.ticket = ticket;
            this.sinceMillis = sinceMillis;
        }

        long deadlineMillis() {
            return sinceMillis + (extended ? Admission.FAILOVER_WAIT_MILLIS : Admission.WAIT_MILLIS);
        }
    }

    OrganisationQueue(OrganisationId organisation, long nowMillis) {
        this.organisation = organisation;
        this.windowStartMillis = nowMillis;
    }

    /** Admits a request at once, if a grant is left and nobody waits before it. */
    boolean tryAdmit(long nowMillis) {
        countDemand(nowMillis);
        return waiters.isEmpty() && spend(nowMillis);
    }

    void configure(Organisation limits) {
        ratePerSecond = limits.ratePerSecond();
        burst = limits.burst();
    }

    /** A request behind more than the whole fleet may admit while it waits exceeds the rate with certainty. */
    void await(long ticket, long nowMillis) {
        double admitted = ratePerSecond * Admission.FAILOVER_WAIT_MILLIS / MILLIS_PER_SECOND + burst;
        waiters.add(new Waiter(ticket, nowMillis, waiters.size() > admitted));
    }

    int waiting() {
        return waiters.size();
    }

    boolean cancel(long ticket) {
        return waiters.removeIf(waiter -> waiter.ticket == ticket);
    }

    boolean needsLine(long nowMillis) {
        closeOld(nowMillis);
        if (inFlight) {
            return false;
        }
        if (wanted(nowMillis) > 0 && nowMillis >= notBeforeMillis) {
            return true;
        }
        return nowMillis - askedAtMillis >= REPORT_MILLIS && grants.stream().anyMatch(LocalGrant::isUnreported);
    }

    GrantLine line(long nowMillis) {
        closeOld(nowMillis);
        inFlight = true;
        askedAtMillis = nowMillis;
        List<GrantUse> uses = grants.stream().map(LocalGrant::use).toList();
        int wanted = nowMillis >= notBeforeMillis ? wanted(nowMillis) : 0;
        return new GrantLine(organisation, wanted, uses);
    }

    void answered(GrantLine line, Grant grant, long expiresAtMillis, long nowMillis) {
        inFlight = false;
        for (GrantUse use : line.uses()) {
            grants.removeIf(held -> held.id().equals(use.grantId()) && held.acknowledged(use));
        }
        if (grant == null) {
            return;
        }
        if (grant.requests() > 0) {
            grants.add(new LocalGrant(grant.grantId(), grant.requests(), expiresAtMillis));
            notBeforeMillis = nowMillis;
        } else if (line.wanted() > 0) {
            notBeforeMillis = nowMillis + Math.max(Admission.MIN_ASK_MILLIS, Math.min(grant.retryAfterMillis(), 500));
            boolean limited = !grant.withinRate();
            for (Waiter waiter : waiters) {
                waiter.rateLimited = limited;
                waiter.extended |= !limited;
            }
        }
    }

    void unanswered(long nowMillis) {
        inFlight = false;
        notBeforeMillis = nowMillis + Admission.MIN_ASK_MILLIS;
        for (Waiter waiter : waiters) {
            waiter.extended = true;
            waiter.rateLimited = false;
        }
    }

    /** Decides on waiting requests in their order. */
    void decide(List<AdmissionDecision> decided, long retryAfterMillis, long nowMillis) {
        while (!waiters.isEmpty() && spend(nowMillis)) {
            decided.add(AdmissionDecision.admitted(waiters.poll().ticket));
        }
        boolean slow = inFlight && nowMillis - askedAtMillis >= SLOW_ANSWER_MILLIS;
        int position = 0;
        Iterator<Waiter> left = waiters.iterator();
        while (left.hasNext()) {
            Waiter waiter = left.next();
            waiter.extended |= slow;
            // The fleet admits one request each 1/rate s, so that those ahead take at least this long.
            long turnMillis = retryAfterMillis + (long) (position * MILLIS_PER_SECOND / ratePerSecond);
            boolean tooFar = waiter.rateLimited && nowMillis + turnMillis > waiter.deadlineMillis();
            if (waiter.hopeless || tooFar || nowMillis >= waiter.deadlineMillis()) {
                left.remove();
                boolean limited = waiter.hopeless || waiter.rateLimited;
                RefusalReason reason = limited ? RefusalReason.RATE_LIMITED : RefusalReason.RATE_GRANT_UNAVAILABLE;
                decided.add(AdmissionDecision.refused(waiter.ticket, reason, turnMillis));
            } else {
                position++;
            }
        }
    }

    boolean isIdle(long nowMillis) {
        closeOld(nowMillis);
        return waiters.isEmpty() && grants.isEmpty() && !inFlight;
    }

    private boolean spend(long nowMillis) {
        for (LocalGrant grant : grants) {
            if (grant.trySpend(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private void countDemand(long nowMillis) {
        long age = nowMillis - windowStartMillis;
        if (age >= DEMAND_WINDOW_MILLIS) {
            lastWindowCount = age >= 2 * DEMAND_WINDOW_MILLIS ? 0 : windowCount;
            windowCount = 0;
            windowStartMillis = nowMillis;
        }
        windowCount++;
    }

    /** Asks for the waiting requests and for the demand of one window ahead, less what is left. */
    private int wanted(long nowMillis) {
        long age = nowMillis - windowStartMillis;
        int demand = age >= 2 * DEMAND_WINDOW_MILLIS ? 0 : Math.max(lastWindowCount, windowCount);
        long left = grants.stream().mapToLong(grant -> grant.left(nowMillis)).sum();
        if (waiters.isEmpty() && left * 2 >= demand) {
            return 0;
        }
        return (int) Math.max(0, waiters.size() + Math.max(0, demand - UNPLANNED_REQUESTS) - left);
    }

    private void closeOld(long nowMillis) {
        for (LocalGrant grant : grants) {
            if (!grant.isClosed() && grant.expiresAtMillis() - nowMillis <= RETURN_AHEAD_MILLIS) {
                grant.close();
            }
        }
        grants.removeIf(grant -> nowMillis - grant.expiresAtMillis() >= Admission.FORGET_MILLIS);
    }
}
