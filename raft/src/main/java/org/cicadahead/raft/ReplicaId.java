package org.cicadahead.raft;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifies a replica together with its data folder. A replica whose folder was emptied gets a new id, so that votes
 * and acknowledgements for the lost log never count for the new one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 128 random bits in lower-case hexadecimal
 */
public record ReplicaId(@JsonValue String value) implements Comparable<ReplicaId> {
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{32}");

    /**
     * Checks the format of the id.
     *
     * @throws IllegalArgumentException if the value is null or does not match the pattern
     */
    public ReplicaId {
        if (value == null || !PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("The replica id must match " + PATTERN.pattern());
        }
    }

    /**
     * Returns the replica id for a string.
     *
     * @param value the id as a string
     * @return the replica id
     * @throws IllegalArgumentException if the value is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ReplicaId of(String value) {
        return new ReplicaId(value);
    }

    @Override
    public int compareTo(ReplicaId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
