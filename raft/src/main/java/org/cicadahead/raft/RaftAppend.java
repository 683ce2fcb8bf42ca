package org.cicadahead.raft;

import java.util.List;

/**
 * Carries entries from the leader, or none as a heartbeat.
 *
 * @param from the leader
 * @param to the follower
 * @param term the term of the leader
 * @param prevIndex the entry before the first one
 * @param prevTerm the term of that entry
 * @param entries the entries
 * @param commit the commit index of the leader
 * @param sentMillis the monotonic time of the leader, in milliseconds, which the reply repeats
 */
public record RaftAppend(
        ReplicaId from,
        ReplicaId to,
        long term,
        long prevIndex,
        long prevTerm,
        List<LogEntry> entries,
        long commit,
        long sentMillis)
        implements RaftMessage {

    /** Copies the entries. */
    public RaftAppend {
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
