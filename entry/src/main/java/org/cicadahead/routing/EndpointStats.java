package org.cicadahead.routing;

import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointLoad;

/** The announcement, load and failure record of one endpoint, as known to one entry. */
final class EndpointStats {
    /**
     * Slow start: a new endpoint reaches its full share of requests after this time, in milliseconds, while its cache
     * fills.
     */
    static final long SLOW_START_MILLIS = 10_000;
    /** Number of consecutive failures after which an endpoint is ejected. */
    static final int FAILURES_TO_EJECT = 3;

    private static final long FIRST_EJECTION_MILLIS = 5_000;
    private static final long MAX_EJECTION_MILLIS = 60_000;
    private static final double MIN_SLOW_START_SHARE = 0.1;

    private final long firstSeenMillis;
    private final boolean slowStart;
    private Announcement announcement;
    private boolean leaving;
    private EndpointLoad load;
    private long reportedAtMillis = Long.MIN_VALUE;
    private int sentSinceReport;
    private int inFlight;
    private int failures;
    private int ejections;
    private long ejectedUntilMillis = Long.MIN_VALUE;

    EndpointStats(Announcement announcement, long nowMillis, boolean slowStart) {
        this.announcement = announcement;
        this.firstSeenMillis = nowMillis;
        this.slowStart = slowStart;
    }

    Announcement announcement() {
        return announcement;
    }

    /**
     * Replaces the announcement. An unchanged announcement does not clear the leaving mark, as the endpoint made it
     * before it refused a request because it is shutting down.
     */
    void announce(Announcement next) {
        leaving &= next.equals(announcement);
        announcement = next;
    }

    boolean isLeaving() {
        return leaving;
    }

    void markLeaving() {
        leaving = true;
    }

    long reportedAtMillis() {
        return reportedAtMillis;
    }

    void report(EndpointLoad next, long nowMillis) {
        load = next;
        reportedAtMillis = nowMillis;
        sentSinceReport = 0;
    }

    void requestSent() {
        sentSinceReport++;
        inFlight++;
    }

    void requestEnded() {
        inFlight = Math.max(0, inFlight - 1);
    }

    void succeeded() {
        failures = 0;
        ejections = 0;
    }

    void failed(long nowMillis) {
        failures++;
        if (failures >= FAILURES_TO_EJECT) {
            long ejectionMillis = Math.min(FIRST_EJECTION_MILLIS << Math.min(ejections, 4), MAX_EJECTION_MILLIS);
            ejectedUntilMillis = nowMillis + ejectionMillis;
            ejections++;
            failures = 0;
        }
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    long ejectedUntilMillis() {
        return ejectedUntilMillis;
    }

    /**
     * Returns the number of requests per slot of the endpoint. It counts the requests that the endpoint reported and
     * those sent since the report, but at least those that this entry has in flight there.
     * During slow start, the endpoint is treated as if it had fewer slots.
     */
    double occupancy(long nowMillis) {
        int reported = load == null ? 0 : load.queued() + load.running();
        int requests = Math.max(reported + sentSinceReport, inFlight);
        return requests / (Math.max(1, announcement.capacity()) * slowStartShare(nowMillis));
    }

    private double slowStartShare(long nowMillis) {
        long age = nowMillis - firstSeenMillis;
        if (!slowStart || age >= SLOW_START_MILLIS) {
            return 1;
        }
        return Math.max(MIN_SLOW_START_SHARE, (double) age / SLOW_START_MILLIS);
    }
}
