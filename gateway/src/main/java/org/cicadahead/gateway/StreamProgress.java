package org.cicadahead.gateway;

import org.cicadahead.site.SiteRoute;

/**
 * Decides whether a stream has stalled. Guarded by the lock of its request.
 *
 * <p>Load pattern: an endpoint that hangs keeps its connection busy with comments, empty events or parts of an event,
 * while a sound endpoint under load pauses for a multiple of the usual time. Progress is therefore measured in events
 * with data and not in bytes, and a stream has stalled only long after a caller would have given it up.
 */
final class StreamProgress {
    /** How long a stream may pause, as a multiple of the time for which callers wait for the next event. */
    private static final int PATIENCE_FACTOR = 3;
    /** The minimum time for which callers wait for the next event, in milliseconds. */
    private static final long MIN_PATIENCE_MILLIS = 2_000;
    /** The time for which callers wait for an event, as a multiple of the route's latency objective. */
    private static final int PATIENCE_IN_TARGETS = 4;
    /** The time for which callers wait for an event, as a multiple of the route's objective for pauses. */
    private static final int PATIENCE_IN_GAPS = 8;

    private final long maxPauseMillis;
    private long lastEventMillis;

    private StreamProgress(long maxPauseMillis, long nowMillis) {
        this.maxPauseMillis = maxPauseMillis;
        this.lastEventMillis = nowMillis;
    }

    /** Returns the progress of a stream whose head has just been received. */
    static StreamProgress start(SiteRoute route, long nowMillis) {
        long patienceMillis = Math.max(
                MIN_PATIENCE_MILLIS,
                Math.max(PATIENCE_IN_TARGETS * route.targetMillis(), PATIENCE_IN_GAPS * route.gapTargetMillis()));
        return new StreamProgress(PATIENCE_FACTOR * patienceMillis, nowMillis);
    }

    /** Records an event with data. */
    void eventReceived(long nowMillis) {
        lastEventMillis = nowMillis;
    }

    /** Returns the time until the stream counts as stalled without another event, in milliseconds; 0 if it does now. */
    long leftMillis(long nowMillis) {
        return Math.max(0, maxPauseMillis - (nowMillis - lastEventMillis));
    }
}
