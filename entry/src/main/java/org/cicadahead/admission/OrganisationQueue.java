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

/** The rate grants and the queue of waiting requests of one organisation at one entry. */
final class OrganisationQueue {
    /** Length of the window over which the demand is measured, in milliseconds. */
    private static final long DEMAND_WINDOW_MILLIS = 250;
    /**
     * Unused requests of a grant are returned this long before it expires, in milliseconds, so that the report arrives
     * in time. The leader counts a grant that expires without a report as spent.
     */
    private static final long RETURN_MARGIN_MILLIS = 300;
    /**
     * Delay in milliseconds after the last batch before the use of grants is reported in a batch of its own. Requests
     * that are granted and not yet reported limit the refill of the leader's bucket.
     */
    private static final long REPORT_INTERVAL_MILLIS = 100;

    /** A leader failover is assumed if a batch has no reply after this time, in milliseconds. */
    private static final long SLOW_REPLY_MILLIS = 500;
    /**
     * Expected demand up to this number of requests is not asked for in advance, because other entries cannot use the
     * requests that are granted to this one.
     */
    private static final int MIN_PREFETCH_DEMAND = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final OrganisationId organisation;
    private final Deque<WaitingRequest> queue = new ArrayDeque<>();
    private final List<LocalGrant> grants = new ArrayList<>();
    private long windowStartMillis;
    private int windowCount;
    private int lastWindowCount;
    private long batchSentMillis = Long.MIN_VALUE / 2;
    private long nextRequestMillis = Long.MIN_VALUE;
    private boolean inFlight;
    private double ratePerSecond = 1;
    private long burst = 1;

    private static final class WaitingRequest {
        private final long ticket;
        private final long sinceMillis;
        /** Whether the request certainly exceeded the rate when it was queued. */
        private final boolean exceedsRate;
        /** Whether the leader last granted nothing because the organisation exceeds its rate. */
        private boolean rateLimited;
        /** Whether the request waits longer because of a possible leader failover. */
        private boolean failoverWait;

        WaitingRequest(long ticket, long sinceMillis, boolean exceedsRate) {
            this.exceedsRate = exceedsRate;
            this.ticket = ticket;
            this.sinceMillis = sinceMillis;
        }

        long deadlineMillis() {
            return sinceMillis + (failoverWait ? Admission.FAILOVER_WAIT_MILLIS : Admission.WAIT_MILLIS);
        }
    }

    OrganisationQueue(OrganisationId organisation, long nowMillis) {
        this.organisation = organisation;
        this.windowStartMillis = nowMillis;
    }

    /** Admits a request immediately if a grant has capacity left and no other request is waiting. */
    boolean tryAdmit(long nowMillis) {
        countDemand(nowMillis);
        return queue.isEmpty() && spend(nowMillis);
    }

    void configure(Organisation limits) {
        ratePerSecond = limits.ratePerSecond();
        burst = limits.burst();
    }

    /**
     * Queues a request. If more requests wait ahead of it than all entries together may admit within its maximum wait,
     * it certainly exceeds the rate, and the next decision refuses it.
     */
    void enqueue(long ticket, long nowMillis) {
        double admitted = ratePerSecond * Admission.FAILOVER_WAIT_MILLIS / MILLIS_PER_SECOND + burst;
        queue.add(new WaitingRequest(ticket, nowMillis, queue.size() > admitted));
    }

    int waiting() {
        return queue.size();
    }

    boolean cancel(long ticket) {
        return queue.removeIf(request -> request.ticket == ticket);
    }

    boolean needsLine(long nowMillis) {
        closeExpiringGrants(nowMillis);
        if (inFlight) {
            return false;
        }
        if (wanted(nowMillis) > 0 && nowMillis >= nextRequestMillis) {
            return true;
        }
        return nowMillis - batchSentMillis >= REPORT_INTERVAL_MILLIS
                && grants.stream().anyMatch(LocalGrant::hasUnreportedUse);
    }

    GrantLine createLine(long nowMillis) {
        closeExpiringGrants(nowMillis);
        inFlight = true;
        batchSentMillis = nowMillis;
        List<GrantUse> uses = grants.stream().map(LocalGrant::use).toList();
        int wanted = nowMillis >= nextRequestMillis ? wanted(nowMillis) : 0;
        return new GrantLine(organisation, wanted, uses);
    }

    void applyReply(GrantLine line, Grant grant, long expiresAtMillis, long nowMillis) {
        inFlight = false;
        for (GrantUse use : line.uses()) {
            grants.removeIf(held -> held.id().equals(use.grantId()) && held.acknowledge(use));
        }
        if (grant == null) {
            return;
        }
        if (grant.requests() > 0) {
            grants.add(new LocalGrant(grant.grantId(), grant.requests(), expiresAtMillis));
            nextRequestMillis = nowMillis;
        } else if (line.wanted() > 0) {
            nextRequestMillis =
                    nowMillis + Math.max(Admission.MIN_BATCH_INTERVAL_MILLIS, Math.min(grant.retryAfterMillis(), 500));
            boolean limited = !grant.withinRate();
            for (WaitingRequest request : queue) {
                request.rateLimited = limited;
                request.failoverWait |= !limited;
            }
        }
    }

    void handleMissingReply(long nowMillis) {
        inFlight = false;
        nextRequestMillis = nowMillis + Admission.MIN_BATCH_INTERVAL_MILLIS;
        for (WaitingRequest request : queue) {
            request.failoverWait = true;
            request.rateLimited = false;
        }
    }

    /** Decides on waiting requests in order of arrival. */
    void decide(List<AdmissionDecision> decided, long retryAfterMillis, long nowMillis) {
        while (!queue.isEmpty() && spend(nowMillis)) {
            decided.add(AdmissionDecision.admitted(queue.poll().ticket));
        }
        boolean failoverAssumed = inFlight && nowMillis - batchSentMillis >= SLOW_REPLY_MILLIS;
        int position = 0;
        Iterator<WaitingRequest> iterator = queue.iterator();
        while (iterator.hasNext()) {
            WaitingRequest request = iterator.next();
            request.failoverWait |= failoverAssumed;
            // All entries together admit one request per 1/rate s, so the requests ahead take at least this long.
            long estimatedWaitMillis = retryAfterMillis + (long) (position * MILLIS_PER_SECOND / ratePerSecond);
            boolean missesDeadline = request.rateLimited && nowMillis + estimatedWaitMillis > request.deadlineMillis();
            if (request.exceedsRate || missesDeadline || nowMillis >= request.deadlineMillis()) {
                iterator.remove();
                boolean limited = request.exceedsRate || request.rateLimited;
                RefusalReason reason = limited ? RefusalReason.RATE_LIMITED : RefusalReason.RATE_GRANT_UNAVAILABLE;
                decided.add(AdmissionDecision.refused(request.ticket, reason, estimatedWaitMillis));
            } else {
                position++;
            }
        }
    }

    boolean isIdle(long nowMillis) {
        closeExpiringGrants(nowMillis);
        return queue.isEmpty() && grants.isEmpty() && !inFlight;
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

    /**
     * Returns the number of requests to ask for: the waiting ones and the expected demand of one window, less the
     * remaining capacity of the grants.
     */
    private int wanted(long nowMillis) {
        long age = nowMillis - windowStartMillis;
        int demand = age >= 2 * DEMAND_WINDOW_MILLIS ? 0 : Math.max(lastWindowCount, windowCount);
        long remaining =
                grants.stream().mapToLong(grant -> grant.remaining(nowMillis)).sum();
        if (queue.isEmpty() && remaining * 2 >= demand) {
            return 0;
        }
        return (int) Math.max(0, queue.size() + Math.max(0, demand - MIN_PREFETCH_DEMAND) - remaining);
    }

    private void closeExpiringGrants(long nowMillis) {
        for (LocalGrant grant : grants) {
            if (!grant.isClosed() && grant.expiresAtMillis() - nowMillis <= RETURN_MARGIN_MILLIS) {
                grant.close();
            }
        }
        grants.removeIf(grant -> nowMillis - grant.expiresAtMillis() >= Admission.CLOSED_GRANT_RETENTION_MILLIS);
    }
}
