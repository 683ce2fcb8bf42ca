package org.cicadahead.raft;

import java.util.List;
import java.util.Objects;

/**
 * Replicates log entries from the leader to a follower. Without entries, it is a heartbeat.
 *
 * @param from the leader
 * @param to the follower
 * @param term the term of the leader
 * @param prevIndex the index of the entry that precedes the first of the entries
 * @param prevTerm the term of the preceding entry
 * @param entries the entries
 * @param commit the commit index of the leader
 * @param sentMillis the send time on the monotonic clock of the leader, in milliseconds; the reply echoes it
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

    /**
     * Checks the fields and copies the entries.
     *
     * @throws NullPointerException if the sender or the receiver is null
     */
    public RaftAppend {
        Objects.requireNonNull(from, "The sender must not be null");
        Objects.requireNonNull(to, "The receiver must not be null");
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
