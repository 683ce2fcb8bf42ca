package org.cicadahead.raft;

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
        implements RaftMessage {}
