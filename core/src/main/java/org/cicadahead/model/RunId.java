package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifies one attempt to run a request on an endpoint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._:-]{1,64}}
 */
public record RunId(@JsonValue String value) implements Comparable<RunId> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public RunId {
        Names.check(value, PATTERN, "run id");
    }

    /**
     * Returns the run id with the given text.
     *
     * @param value the text
     * @return the run id
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static RunId of(String value) {
        return new RunId(value);
    }

    @Override
    public int compareTo(RunId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
