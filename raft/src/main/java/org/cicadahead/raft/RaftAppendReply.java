package org.cicadahead.raft;

import java.util.Objects;

/**
 * The reply to {@link RaftAppend}.
 *
 * @param from the follower
 * @param to the leader
 * @param term the term of the follower
 * @param success whether the follower's log contains the entry at {@link RaftAppend#prevIndex} with the expected term
 * @param index on success, the index of the last entry that matches the leader's log and is synced; otherwise the
 *     highest index at which the logs may match
 * @param sentMillis the send time from the request
 */
public record RaftAppendReply(ReplicaId from, ReplicaId to, long term, boolean success, long index, long sentMillis)
        implements RaftMessage {

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if the sender or the receiver is null
     */
    public RaftAppendReply {
        Objects.requireNonNull(from, "The sender must not be null");
        Objects.requireNonNull(to, "The receiver must not be null");
    }
}
