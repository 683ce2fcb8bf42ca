package org.cicadahead.raft;

import java.util.Arrays;
import java.util.Objects;

/**
 * An entry of the log. Immutable; the data must not be changed.
 *
 * @param index the position, from 1
 * @param term the term of the leader that appended it
 * @param kind what it holds
 * @param millis the wall-clock time of that leader, in milliseconds since the epoch; never goes back
 * @param type the type name of the command, or null
 * @param data the encoded command, or null
 * @param membership the membership, or null
 */
public record LogEntry(
        long index, long term, EntryKind kind, long millis, String type, byte[] data, Membership membership) {
    /** An estimate of the bytes of an entry besides its data. */
    private static final int OVERHEAD_BYTES = 64;

    /**
     * Returns the approximate size.
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
