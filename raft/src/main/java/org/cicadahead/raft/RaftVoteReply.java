package org.cicadahead.raft;

/**
 * Answers {@link RaftVote}.
 *
 * @param from the voter
 * @param to the candidate
 * @param term the term of the election if granted, otherwise the term of the voter
 * @param preVote whether it answers a pre-vote
 * @param granted whether the vote is granted
 */
public record RaftVoteReply(ReplicaId from, ReplicaId to, long term, boolean preVote, boolean granted)
        implements RaftMessage {}
