package org.cicadahead.raft;

import java.util.Objects;

/**
 * Answers {@link RaftAppend}.
 *
 * @param from the follower
 * @param to the leader
 * @param term the term of the follower
 * @param success whether the log of the follower has the entry before the first one
 * @param index if successful, the last entry that is known to match and is synced; otherwise where it may match
 * @param sentMillis repeated from the request
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
