package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifies an endpoint, that is, one model engine or one service instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._:-]{1,64}}
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public EndpointId {
        Names.check(value, PATTERN, "endpoint id");
    }

    /**
     * Returns the endpoint id with the given text.
     *
     * @param value the text
     * @return the endpoint id
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
