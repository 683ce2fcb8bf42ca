package org.cicadahead.queue;

/** Estimates how many tokens the endpoint serves in a millisecond while runs are waiting. */
final class ServiceRate {
    private static final long WINDOW_MILLIS = 1_000;
    private static final double NEW_WEIGHT = 0.3;

    private double tokensPerMilli;
    private long windowStart;
    private long windowTokens;
    private boolean busy;

    /** Counts finished tokens; a window in which the queue was empty says nothing about the rate. */
    void finished(long tokens, boolean waiting, long nowMillis) {
        if (!busy || !waiting) {
            busy = waiting;
            windowStart = nowMillis;
            windowTokens = 0;
            return;
        }
        windowTokens += tokens;
        long elapsed = nowMillis - windowStart;
        if (elapsed >= WINDOW_MILLIS) {
            double sample = windowTokens / (double) elapsed;
            tokensPerMilli = tokensPerMilli == 0 ? sample : tokensPerMilli * (1 - NEW_WEIGHT) + sample * NEW_WEIGHT;
            windowStart = nowMillis;
            windowTokens = 0;
        }
    }

    /** Returns how long tokens take, in milliseconds; 0 while the rate is not known. */
    double millisFor(double tokens) {
        return tokensPerMilli == 0 ? 0 : tokens / tokensPerMilli;
    }
}
