package org.cicadahead.routing;

import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointLoad;

/** What an entry knows of one endpoint. */
final class EndpointStats {
    /** A new endpoint reaches its full share after this time, in milliseconds, so that its cold cache can fill. */
    static final long SLOW_START_MILLIS = 10_000;
    /** Consecutive failures after which an endpoint is ejected. */
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

    /** An unchanged announcement is older than what the endpoint itself said. */
    void announce(Announcement next) {
        leaving &= next.equals(announcement);
        announcement = next;
    }

    boolean isLeaving() {
        return leaving;
    }

    void leave() {
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

    void sent() {
        sentSinceReport++;
        inFlight++;
    }

    void returned() {
        inFlight = Math.max(0, inFlight - 1);
    }

    void succeeded() {
        failures = 0;
        ejections = 0;
    }

    void failed(long nowMillis) {
        failures++;
        if (failures >= FAILURES_TO_EJECT) {
            long length = Math.min(FIRST_EJECTION_MILLIS << Math.min(ejections, 4), MAX_EJECTION_MILLIS);
            ejectedUntilMillis = nowMillis + length;
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
     * Returns the requests for each place of the endpoint: those that it reported and those sent since, at least those
     * that this entry itself has running there.
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
