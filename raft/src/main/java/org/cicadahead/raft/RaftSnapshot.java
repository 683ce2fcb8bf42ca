package org.cicadahead.raft;

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
        implements RaftMessage {}
