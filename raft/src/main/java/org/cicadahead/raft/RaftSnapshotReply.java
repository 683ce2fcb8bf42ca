package org.cicadahead.raft;

import java.util.Objects;

/**
 * The reply to {@link RaftSnapshot}.
 *
 * @param from the follower
 * @param to the leader
 * @param term the term of the follower
 * @param index the index of the last entry that the snapshot covers
 * @param offset the offset of the next chunk that the follower expects, in bytes
 * @param done whether the follower has all entries that the snapshot covers
 * @param sentMillis the send time from the request
 */
public record RaftSnapshotReply(
        ReplicaId from, ReplicaId to, long term, long index, long offset, boolean done, long sentMillis)
        implements RaftMessage {

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if the sender or the receiver is null
     */
    public RaftSnapshotReply {
        Objects.requireNonNull(from, "The sender must not be null");
        Objects.requireNonNull(to, "The receiver must not be null");
    }
}
