package org.cicadahead.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** The replication progress of another member, as known to the leader. */
final class Progress {
    /** The index of the last entry that is known to match the leader's log. */
    long matchIndex;
    /** The index of the next entry to send. */
    long nextIndex;
    /**
     * True while the leader does not know up to which entry the logs match. Entries are then sent only in response to a
     * reply, and heartbeats probe for the matching entry.
     */
    boolean probing;
    /** The offset of the next snapshot chunk, in bytes; valid only while {@link #snapshotIndex} is not 0. */
    long snapshotOffset;

    /** The index of the last entry that the snapshot being sent covers, or 0 if no snapshot is being sent. */
    long snapshotIndex;
    /** The send time of the latest message that the member has acknowledged. */
    long ackedSentMillis = Long.MIN_VALUE / 2;
    /** The time at which the last reply of the member arrived. */
    long lastContactMillis;

    /** The time of the latest rewind. A rejection of a message that was sent earlier is obsolete. */
    private long rewindMillis = Long.MIN_VALUE;
    /** For each unacknowledged message, the index of its last entry and the size of its entries in bytes. */
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
     * Moves the next index back to where the logs may match, but never below the match index. A follower that skips a
     * whole conflicting term may report an index below the match index.
     *
     * @return false if the rejection is obsolete: it answers a message that was sent before the latest rewind, or it
     *     does not move the next index further back
     */
    boolean rewind(long index, long sentMillis, long nowMillis) {
        long target = Math.max(matchIndex, index) + 1;
        if (target >= nextIndex || sentMillis < rewindMillis) {
            return false;
        }
        nextIndex = target;
        rewindMillis = nowMillis;
        probing = true;
        inFlight.clear();
        inFlightBytes = 0;
        return true;
    }

    boolean hasWindowSpace(long windowBytes) {
        return inFlightBytes < windowBytes;
    }
}
