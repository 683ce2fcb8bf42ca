package org.cicadahead.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a leader knows of another replica. */
final class Progress {
    /** Last entry that is known to match. */
    long match;
    /** Next entry to send. */
    long next;
    /** While the match is not known, entries are sent only on replies and heartbeats. */
    boolean probing;
    /** Next chunk of the snapshot, in bytes; meaningful while {@link #snapshotIndex} is not 0. */
    long snapshotOffset;

    long snapshotIndex;
    /** When the latest message that it has acknowledged was sent. */
    long ackedMillis = Long.MIN_VALUE / 2;
    /** When it was last heard. */
    long heardMillis;

    private long rewoundMillis = Long.MIN_VALUE;
    private final Deque<long[]> inFlight = new ArrayDeque<>();
    private long inFlightBytes;

    Progress(long next, long nowMillis) {
        this.next = next;
        this.heardMillis = nowMillis;
    }

    void sent(long lastIndex, long bytes) {
        inFlight.add(new long[] {lastIndex, bytes});
        inFlightBytes += bytes;
        next = lastIndex + 1;
    }

    void acknowledged(long index) {
        match = Math.max(match, index);
        next = Math.max(next, match + 1);
        probing = false;
        while (!inFlight.isEmpty() && inFlight.peek()[0] <= match) {
            inFlightBytes -= inFlight.poll()[1];
        }
    }

    /**
     * Goes back to where the logs may match, but never below what is known to match. A follower that skips a whole
     * conflicting term may name an index below the match.
     *
     * @return false if the rejection tells nothing new, as it answers a message from before the latest step back or
     *     does not lead further back
     */
    boolean rewind(long index, long sentMillis, long nowMillis) {
        long target = Math.max(match, index) + 1;
        if (target >= next || sentMillis < rewoundMillis) {
            return false;
        }
        next = target;
        rewoundMillis = nowMillis;
        probing = true;
        inFlight.clear();
        inFlightBytes = 0;
        return true;
    }

    boolean hasRoom(long windowBytes) {
        return inFlightBytes < windowBytes;
    }
}
