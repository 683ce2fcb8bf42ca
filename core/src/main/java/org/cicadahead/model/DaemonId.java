package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifies a daemon; the id stays the same over restarts of the process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._:-]{1,64}}
 */
public record DaemonId(@JsonValue String value) implements Comparable<DaemonId> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public DaemonId {
        Names.check(value, PATTERN, "daemon id");
    }

    /**
     * Returns the daemon id with the given text.
     *
     * @param value the text
     * @return the daemon id
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static DaemonId of(String value) {
        return new DaemonId(value);
    }

    @Override
    public int compareTo(DaemonId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
