package org.cicadahead.raft;

import java.util.Objects;

/**
 * Carries a chunk of a snapshot.
 *
 * @param from the leader
 * @param to the follower
 * @param term the term of the leader
 * @param head what the snapshot covers
 * @param offset the position of the chunk in the snapshot, in bytes
 * @param data the chunk; must not be changed
 * @param last whether nothing follows
 * @param sentMillis the monotonic time of the leader, in milliseconds, which the reply repeats
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
