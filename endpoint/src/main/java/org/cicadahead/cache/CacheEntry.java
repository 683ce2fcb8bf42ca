package org.cicadahead.cache;

/** The tracked state of one program's cache on the engine. */
final class CacheEntry {
    private static final double NEW_PAUSE_WEIGHT = 0.5;

    long lastUseMillis;
    long tokens;
    int running;
    boolean ended;
    boolean evicting;
    /** False while only the engine has reported the program and control has not been asked about it. */
    boolean verified;

    /** Moving average of the pauses between runs, or -1 if none was measured yet. */
    double meanPauseMillis = -1;

    long nextReleaseMillis;
    int releaseAttempts;

    CacheEntry(long nowMillis) {
        this.lastUseMillis = nowMillis;
    }

    void recordPause(long millis) {
        meanPauseMillis =
                meanPauseMillis < 0 ? millis : meanPauseMillis * (1 - NEW_PAUSE_WEIGHT) + millis * NEW_PAUSE_WEIGHT;
    }

    /**
     * Returns the predicted time until the next run, in milliseconds. A pause that has already exceeded its prediction
     * is assumed to continue for as long again as it has lasted so far.
     */
    double remainingPause(double defaultPauseMillis, long nowMillis) {
        double predicted = meanPauseMillis < 0 ? defaultPauseMillis : meanPauseMillis;
        double elapsed = nowMillis - lastUseMillis;
        return elapsed <= predicted ? predicted - elapsed : elapsed;
    }

    boolean needsRelease(long idleLimitMillis, long nowMillis) {
        return running == 0 && (ended || evicting || nowMillis - lastUseMillis >= idleLimitMillis);
    }
}
