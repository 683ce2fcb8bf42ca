package org.cicadahead.testbed.soak;

/**
 * A request that a caller sent. Immutable.
 *
 * @param attempt the id of the attempt
 * @param entry the entry that it was sent to
 * @param entryStarts how often the entry had been started by then
 * @param sentMillis the monotonic time, in milliseconds
 */
record SoakRequest(String attempt, SoakFleet.Member entry, int entryStarts, long sentMillis) {

    static SoakRequest of(String attempt, SoakFleet.Member entry, long nowMillis) {
        return new SoakRequest(attempt, entry, entry.starts(), nowMillis);
    }

    /** Returns the name of the process that the request was sent to. */
    String entryProcess() {
        return entry.process.name() + "#" + entryStarts;
    }

    /** Returns whether the entry has not been started again since. */
    boolean isSameProcess() {
        return entry.starts() == entryStarts;
    }
}
