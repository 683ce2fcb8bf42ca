package org.cicadahead.raft;

/**
 * Asks a follower to start an election at once.
 *
 * @param from the leader
 * @param to the follower
 * @param term the term of the leader
 */
public record RaftTransfer(ReplicaId from, ReplicaId to, long term) implements RaftMessage {}
