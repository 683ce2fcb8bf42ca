package org.cicadahead.queue;

/**
 * Adapts the limit of concurrent requests so that the interval between tokens stays within its target. Not thread-safe.
 *
 * <p>The limit is adjusted once per window by additive increase and multiplicative decrease.
 */
public final class AdmissionLimit {
    /** The interval between tokens that 95% of the tokens must not exceed, in microseconds. */
    public static final long TARGET_MICROS = 26_000;

    private static final long WINDOW_MILLIS = 500;
    private static final int MIN_SAMPLES = 20;
    private static final double DECREASE_FACTOR = 0.9;
    /** Decrease factor if most tokens are slow; it takes only seconds to correct a capacity that is set too high. */
    private static final double STEEP_DECREASE_FACTOR = 0.7;

    /** Share of slow tokens above which the steep decrease factor applies. */
    private static final double STEEP_SLOW_SHARE = 0.5;
    /** Share of slow tokens above which the limit is lowered; the target allows 5%. */
    private static final double HIGH_SLOW_SHARE = 0.05;
    /** Share of slow tokens below which the limit may be raised; the gap to the upper bound prevents oscillation. */
    private static final double LOW_SLOW_SHARE = 0.02;

    private final int capacity;
    private int limit;
    private long windowStartMillis;
    private long samples;
    private long slowSamples;
    private boolean limitReached;

    private AdmissionLimit(int capacity) {
        this.capacity = capacity;
        this.limit = capacity;
    }

    /**
     * Returns a limit that starts at the capacity.
     *
     * @param capacity the maximum number of running requests
     * @return the limit
     */
    public static AdmissionLimit of(int capacity) {
        return new AdmissionLimit(capacity);
    }

    /**
     * Records the time between two events of one stream.
     *
     * @param tokens the number of tokens received
     * @param gapMicros the time since the previous tokens, in microseconds
     */
    public void observe(int tokens, long gapMicros) {
        samples += tokens;
        if (gapMicros > TARGET_MICROS * tokens) {
            slowSamples += tokens;
        }
    }

    /**
     * Returns the current limit.
     *
     * @param running the number of requests that are running
     * @param nowMillis the current time
     * @return the limit, at least 1
     */
    public int limit(int running, long nowMillis) {
        limitReached |= running >= limit;
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            if (samples >= MIN_SAMPLES) {
                double slowShare = slowSamples / (double) samples;
                if (slowShare > HIGH_SLOW_SHARE) {
                    limit = Math.max(1, (int) Math.min(
                            limit - 1,
                            limit * (slowShare > STEEP_SLOW_SHARE ? STEEP_DECREASE_FACTOR : DECREASE_FACTOR)));
                } else if (slowShare < LOW_SLOW_SHARE && limitReached) {
                    limit = Math.min(capacity, limit + 1);
                }
            }
            windowStartMillis = nowMillis;
            samples = 0;
            slowSamples = 0;
            limitReached = false;
        }
        return limit;
    }
}
