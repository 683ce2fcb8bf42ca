package org.cicadahead.raft;

import java.util.Objects;

/**
 * Requests a vote or a pre-vote.
 *
 * @param from the candidate
 * @param to the voter
 * @param term the term of the election
 * @param lastIndex the index of the last entry in the candidate's log
 * @param lastTerm the term of that entry
 * @param preVote whether this is a pre-vote, which only asks whether a vote would be granted
 * @param transfer whether the leader asked the candidate to take over; the leader has then given up its lease
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
