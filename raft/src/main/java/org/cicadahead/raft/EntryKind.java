package org.cicadahead.raft;

/** What a log entry holds. */
public enum EntryKind {
    /** Nothing; the first entry of a leader, which commits the entries of earlier terms. */
    EMPTY,
    /** A command for the state machine. */
    COMMAND,
    /** A membership, in force as soon as it is in the log. */
    MEMBERSHIP
}
