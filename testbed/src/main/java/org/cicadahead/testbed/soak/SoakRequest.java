package org.cicadahead.testbed.soak;

/**
 * A request that a caller sent. Immutable.
 *
 * @param attempt the id of the attempt
 * @param route the name of its route
 * @param entry the entry that it was sent to
 * @param entryStarts how often the entry had been started by then
 * @param sentMillis the monotonic time, in milliseconds
 * @param limitMillis how long the caller waits, in milliseconds
 */
record SoakRequest(
        String attempt, String route, SoakFleet.Member entry, int entryStarts, long sentMillis, long limitMillis) {
    private static final int RESUMABLE_ATTEMPTS = 3;
    private static final int REPEATABLE_ATTEMPTS = 2;

    static SoakRequest of(String attempt, String route, SoakFleet.Member entry, long limitMillis, long nowMillis) {
        return new SoakRequest(attempt, route, entry, entry.starts(), nowMillis, limitMillis);
    }

    /** Returns the number of endpoints to which an attempt on a route may be sent. */
    static int maxAttempts(String route) {
        return route.equals("resume") ? RESUMABLE_ATTEMPTS : REPEATABLE_ATTEMPTS;
    }

    int maxAttempts() {
        return maxAttempts(route);
    }

    /** Returns the name of the process that the request was sent to. */
    String entryProcess() {
        return entry.process.name() + "#" + entryStarts;
    }

    /** Returns whether the entry has not been started again since. */
    boolean isSameProcess() {
        return entry.starts() == entryStarts;
    }

    /** Returns whether the process that the request was sent to has been in touch since a contact time ago. */
    boolean isInTouch(long nowMillis) {
        return isSameProcess() && entry.isInTouch(nowMillis);
    }

    @Override
    public String toString() {
        return attempt + " sent at " + sentMillis + " to " + entryProcess();
    }
}
