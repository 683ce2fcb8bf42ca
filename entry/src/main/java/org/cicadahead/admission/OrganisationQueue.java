package org.cicadahead.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
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

    private final OrganisationId organisation;
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private final List<LocalGrant> grants = new ArrayList<>();
    private long windowStartMillis;
    private int windowCount;
    private int lastWindowCount;
    private long askedAtMillis = Long.MIN_VALUE / 2;
    private long notBeforeMillis = Long.MIN_VALUE;
    private boolean inFlight;

    private static final class Waiter {
        private final long ticket;
        private final long sinceMillis;
        private boolean rateLimited;
        private boolean extended;

        Waiter(long ticket, long sinceMillis) {
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

    void await(long ticket, long nowMillis) {
        waiters.add(new Waiter(ticket, nowMillis));
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
    void decide(List<Admitted> decided, long retryAfterMillis, long nowMillis) {
        while (!waiters.isEmpty() && spend(nowMillis)) {
            decided.add(Admitted.admitted(waiters.poll().ticket));
        }
        Iterator<Waiter> left = waiters.iterator();
        while (left.hasNext()) {
            Waiter waiter = left.next();
            boolean hopeless = waiter.rateLimited && nowMillis + retryAfterMillis > waiter.deadlineMillis();
            if (hopeless || nowMillis >= waiter.deadlineMillis()) {
                left.remove();
                RefusalReason reason =
                        waiter.rateLimited ? RefusalReason.RATE_LIMITED : RefusalReason.RATE_GRANT_UNAVAILABLE;
                decided.add(Admitted.refused(waiter.ticket, reason, retryAfterMillis));
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
        return (int) Math.max(0, waiters.size() + demand - left);
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
