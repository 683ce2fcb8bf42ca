package org.cicadahead.raft;

import java.util.Objects;

/**
 * Describes the last entry and the membership that a snapshot covers. Immutable.
 *
 * @param index the index of the last entry that the snapshot covers; 0 if there is no snapshot
 * @param term the term of that entry
 * @param millis the time of that entry, in milliseconds since the epoch
 * @param membership the membership as of that entry
 */
public record SnapshotHead(long index, long term, long millis, Membership membership) {
    /** The head of a replica without a snapshot. */
    public static final SnapshotHead NONE = new SnapshotHead(0, 0, 0, Membership.NONE);

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if the membership is null
     */
    public SnapshotHead {
        Objects.requireNonNull(membership, "The membership must not be null");
    }
}
