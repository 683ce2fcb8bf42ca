package org.cicadahead.queue;

/**
 * Adapts the number of running requests so that the token interval stays within its target. Not safe for use by several
 * threads.
 *
 * <p>Additive increase and multiplicative decrease, once for each window.
 */
public final class AdmissionLimit {
    /** The token interval that 95% of tokens must keep, in microseconds. */
    public static final long TARGET_MICROS = 26_000;

    private static final long WINDOW_MILLIS = 500;
    private static final int MIN_SAMPLES = 20;
    private static final double DECREASE = 0.9;
    /** Decrease when most tokens are slow, so that a capacity that is set too high is corrected within seconds. */
    private static final double STEEP_DECREASE = 0.7;

    private static final double SLOW_SHARE_STEEP = 0.5;
    /** Share of slow tokens above which the limit falls; the target allows 5%. */
    private static final double SLOW_SHARE_HIGH = 0.05;
    /** Share of slow tokens below which the limit may rise; the gap to the upper bound prevents oscillation. */
    private static final double SLOW_SHARE_LOW = 0.02;

    private final int capacity;
    private int limit;
    private long windowStart;
    private long samples;
    private long slow;
    private boolean reached;

    private AdmissionLimit(int capacity) {
        this.capacity = capacity;
        this.limit = capacity;
    }

    /**
     * Returns a limit that starts at the capacity.
     *
     * @param capacity the greatest number of running requests
     * @return the limit
     */
    public static AdmissionLimit of(int capacity) {
        return new AdmissionLimit(capacity);
    }

    /**
     * Counts the time between two tokens of one stream.
     *
     * @param tokens how many tokens came
     * @param gapMicros how long they took together, in microseconds
     */
    public void observe(int tokens, long gapMicros) {
        samples += tokens;
        if (gapMicros > TARGET_MICROS * tokens) {
            slow += tokens;
        }
    }

    /**
     * Returns the current limit.
     *
     * @param running how many requests run now
     * @param nowMillis the current time
     * @return the limit, at least 1
     */
    public int limit(int running, long nowMillis) {
        reached |= running >= limit;
        if (nowMillis - windowStart >= WINDOW_MILLIS) {
            if (samples >= MIN_SAMPLES) {
                double share = slow / (double) samples;
                if (share > SLOW_SHARE_HIGH) {
                    limit = Math.max(1, (int)
                            Math.min(limit - 1, limit * (share > SLOW_SHARE_STEEP ? STEEP_DECREASE : DECREASE)));
                } else if (share < SLOW_SHARE_LOW && reached) {
                    limit = Math.min(capacity, limit + 1);
                }
            }
            windowStart = nowMillis;
            samples = 0;
            slow = 0;
            reached = false;
        }
        return limit;
    }
}
