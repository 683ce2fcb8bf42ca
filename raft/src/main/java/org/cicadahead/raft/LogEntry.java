package org.cicadahead.raft;

import java.util.Arrays;
import java.util.Objects;

/**
 * An entry of the replicated log. Immutable; the data array must not be modified.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that appended it
 * @param kind the kind of the entry
 * @param millis the wall-clock time of that leader in milliseconds since the epoch; never decreases along the log
 * @param type the type name of the command, or null if the entry is not a command
 * @param data the encoded command, or null if the entry is not a command
 * @param membership the new membership, or null if the entry does not change it
 */
public record LogEntry(
        long index, long term, EntryKind kind, long millis, String type, byte[] data, Membership membership) {
    /** Estimated size of an entry without its data. */
    private static final int OVERHEAD_BYTES = 64;

    /**
     * Returns the approximate size of the entry.
     *
     * @return the size in bytes
     */
    public int size() {
        return OVERHEAD_BYTES + (data == null ? 0 : data.length);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LogEntry e
                && index == e.index
                && term == e.term
                && kind == e.kind
                && millis == e.millis
                && Objects.equals(type, e.type)
                && Arrays.equals(data, e.data)
                && Objects.equals(membership, e.membership);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(index * 31 + term);
    }
}
