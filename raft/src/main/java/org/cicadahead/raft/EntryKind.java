package org.cicadahead.raft;

/** The kind of a log entry. */
public enum EntryKind {
    /** An empty entry. Each leader appends one first; committing it also commits the entries of earlier terms. */
    EMPTY,
    /** A command for the state machine. */
    COMMAND,
    /** A new membership, which takes effect as soon as it is appended to the log. */
    MEMBERSHIP
}
