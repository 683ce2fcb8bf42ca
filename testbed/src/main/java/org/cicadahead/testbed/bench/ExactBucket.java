package org.cicadahead.testbed.bench;

/** The token bucket that an organisation would have if one place saw each request; starts full. */
final class ExactBucket {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Sums of many small refills are not exact in floating point. */
    private static final double ROUNDING = 1e-6;

    private final double ratePerSecond;
    private final double burst;
    private double level;
    private long atMicros;

    ExactBucket(double ratePerSecond, double burst) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = burst;
    }

    /** Takes a request; returns false if it is more than the bucket holds. */
    boolean take(long nowMicros) {
        boolean held = holds(nowMicros);
        level--;
        return held;
    }

    /** Returns whether the bucket holds a request. */
    boolean holds(long nowMicros) {
        level = Math.min(burst, level + (nowMicros - atMicros) * ratePerSecond / MICROS_PER_SECOND);
        atMicros = nowMicros;
        return level >= 1 - ROUNDING;
    }

    /** Returns which part of the burst it held at the last call. */
    double share() {
        return level / burst;
    }
}
