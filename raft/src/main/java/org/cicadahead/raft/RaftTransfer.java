package org.cicadahead.raft;

import java.util.Objects;

/**
 * Asks a follower to start an election immediately, without a pre-vote, in order to transfer leadership to it.
 *
 * @param from the leader
 * @param to the follower
 * @param term the term of the leader
 */
public record RaftTransfer(ReplicaId from, ReplicaId to, long term) implements RaftMessage {

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if the sender or the receiver is null
     */
    public RaftTransfer {
        Objects.requireNonNull(from, "The sender must not be null");
        Objects.requireNonNull(to, "The receiver must not be null");
    }
}
