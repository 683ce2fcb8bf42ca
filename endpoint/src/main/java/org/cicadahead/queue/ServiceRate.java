package org.cicadahead.queue;

/** Estimates how many tokens the endpoint serves per millisecond while runs are waiting. */
final class ServiceRate {
    private static final long WINDOW_MILLIS = 1_000;
    private static final double NEW_SAMPLE_WEIGHT = 0.3;

    private double tokensPerMilli;
    private long windowStartMillis;
    private long windowTokens;
    private boolean busy;

    /**
     * Records the tokens of a finished run. Windows in which no run was waiting are ignored, because the engine may not
     * have been busy.
     */
    void finished(long tokens, boolean runsWaiting, long nowMillis) {
        if (!busy || !runsWaiting) {
            busy = runsWaiting;
            windowStartMillis = nowMillis;
            windowTokens = 0;
            return;
        }
        windowTokens += tokens;
        long elapsed = nowMillis - windowStartMillis;
        if (elapsed >= WINDOW_MILLIS) {
            double sample = windowTokens / (double) elapsed;
            tokensPerMilli = tokensPerMilli == 0
                    ? sample
                    : tokensPerMilli * (1 - NEW_SAMPLE_WEIGHT) + sample * NEW_SAMPLE_WEIGHT;
            windowStartMillis = nowMillis;
            windowTokens = 0;
        }
    }

    /** Returns the time to serve a number of tokens, in milliseconds, or 0 while the rate is unknown. */
    double millisFor(double tokens) {
        return tokensPerMilli == 0 ? 0 : tokens / tokensPerMilli;
    }
}
