package org.cicadahead.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a leader knows of another replica. */
final class Progress {
    /** Last entry that is known to match. */
    long matchIndex;
    /** Next entry to send. */
    long nextIndex;
    /** While the match is not known, entries are sent only on replies and heartbeats. */
    boolean probing;
    /** Next chunk of the snapshot, in bytes; meaningful while {@link #snapshotIndex} is not 0. */
    long snapshotOffset;

    long snapshotIndex;
    /** When the latest message that it has acknowledged was sent. */
    long ackedSentMillis = Long.MIN_VALUE / 2;
    /** When it was last heard. */
    long lastContactMillis;

    private long rewoundMillis = Long.MIN_VALUE;
    private final Deque<long[]> inFlight = new ArrayDeque<>();
    private long inFlightBytes;

    Progress(long nextIndex, long nowMillis) {
        this.nextIndex = nextIndex;
        this.lastContactMillis = nowMillis;
    }

    void recordSent(long lastIndex, long bytes) {
        inFlight.add(new long[] {lastIndex, bytes});
        inFlightBytes += bytes;
        nextIndex = lastIndex + 1;
    }

    void recordAcknowledged(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        probing = false;
        while (!inFlight.isEmpty() && inFlight.peek()[0] <= matchIndex) {
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
        long target = Math.max(matchIndex, index) + 1;
        if (target >= nextIndex || sentMillis < rewoundMillis) {
            return false;
        }
        nextIndex = target;
        rewoundMillis = nowMillis;
        probing = true;
        inFlight.clear();
        inFlightBytes = 0;
        return true;
    }

    boolean hasWindowSpace(long windowBytes) {
        return inFlightBytes < windowBytes;
    }
}
