package org.cicadahead.raft;

import java.util.Objects;

/**
 * Asks for a vote.
 *
 * @param from the candidate
 * @param to the voter
 * @param term the term of the election
 * @param lastIndex the last entry of the candidate
 * @param lastTerm the term of that entry
 * @param preVote whether it only asks if a vote would be granted
 * @param transfer whether the leader asked the candidate to take over, so that the leader holds no lease any more
 */
public record RaftVote(
        ReplicaId from, ReplicaId to, long term, long lastIndex, long lastTerm, boolean preVote, boolean transfer)
        implements RaftMessage {

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if the sender or the receiver is null
     */
    public RaftVote {
        Objects.requireNonNull(from, "The sender must not be null");
        Objects.requireNonNull(to, "The receiver must not be null");
    }
}
