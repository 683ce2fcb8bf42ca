package org.cicadahead.raft;

import java.util.Objects;

/**
 * Transfers a chunk of a snapshot from the leader to a follower.
 *
 * @param from the leader
 * @param to the follower
 * @param term the term of the leader
 * @param head the last entry and the membership that the snapshot covers
 * @param offset the offset of the chunk within the snapshot, in bytes
 * @param data the bytes of the chunk; must not be modified
 * @param last whether this is the last chunk
 * @param sentMillis the send time on the monotonic clock of the leader, in milliseconds; the reply echoes it
 */
public record RaftSnapshot(
        ReplicaId from,
        ReplicaId to,
        long term,
        SnapshotHead head,
        long offset,
        byte[] data,
        boolean last,
        long sentMillis)
        implements RaftMessage {

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if the sender, the receiver, the head or the data is null
     */
    public RaftSnapshot {
        Objects.requireNonNull(from, "The sender must not be null");
        Objects.requireNonNull(to, "The receiver must not be null");
        Objects.requireNonNull(head, "The head must not be null");
        Objects.requireNonNull(data, "The data must not be null");
    }
}
