package org.cicadahead.raft;

import java.util.Objects;

/**
 * The reply to {@link RaftVote}.
 *
 * @param from the voter
 * @param to the candidate
 * @param term the term of the election if granted, otherwise the term of the voter
 * @param preVote whether this is the reply to a pre-vote
 * @param granted whether the vote is granted
 */
public record RaftVoteReply(ReplicaId from, ReplicaId to, long term, boolean preVote, boolean granted)
        implements RaftMessage {

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if the sender or the receiver is null
     */
    public RaftVoteReply {
        Objects.requireNonNull(from, "The sender must not be null");
        Objects.requireNonNull(to, "The receiver must not be null");
    }
}
