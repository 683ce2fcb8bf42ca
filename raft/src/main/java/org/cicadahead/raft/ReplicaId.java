package org.cicadahead.raft;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifies the data folder of a replica. A replica whose folder is emptied gets another id, so that a vote or an
 * acknowledgement never counts for a log that is gone.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value 128 random bits in lower-case hexadecimal
 */
public record ReplicaId(@JsonValue String value) implements Comparable<ReplicaId> {
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{32}");

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public ReplicaId {
        if (value == null || !PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("The replica id must match " + PATTERN.pattern());
        }
    }

    /**
     * Returns the replica id with a text.
     *
     * @param value the text
     * @return the replica id
     * @throws IllegalArgumentException if the text is null or does not match the pattern
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
