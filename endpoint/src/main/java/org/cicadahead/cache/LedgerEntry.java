package org.cicadahead.cache;

/** What the ledger knows of one program's cache. */
final class LedgerEntry {
    private static final double NEW_PAUSE_WEIGHT = 0.5;

    long lastUseMillis;
    long tokens;
    int running;
    boolean ended;
    boolean dropping;
    boolean verified;
    double pauseMillis = -1;
    long nextAttemptMillis;
    int attempts;

    LedgerEntry(long nowMillis) {
        this.lastUseMillis = nowMillis;
    }

    void pauseSeen(long millis) {
        pauseMillis = pauseMillis < 0 ? millis : pauseMillis * (1 - NEW_PAUSE_WEIGHT) + millis * NEW_PAUSE_WEIGHT;
    }

    /** Returns how much longer the pause lasts; one that is longer than predicted lasts as long again. */
    double remainingPause(double defaultPause, long nowMillis) {
        double predicted = pauseMillis < 0 ? defaultPause : pauseMillis;
        double elapsed = nowMillis - lastUseMillis;
        return elapsed <= predicted ? predicted - elapsed : elapsed;
    }

    boolean wantsRelease(long idleLimitMillis, long nowMillis) {
        return running == 0 && (ended || dropping || nowMillis - lastUseMillis >= idleLimitMillis);
    }
}
