package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * The name of an availability zone.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._-]{1,64}}
 */
public record ZoneName(@JsonValue String value) implements Comparable<ZoneName> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public ZoneName {
        Names.check(value, PATTERN, "availability zone name");
    }

    /**
     * Returns the availability zone name with the given text.
     *
     * @param value the text
     * @return the availability zone name
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ZoneName of(String value) {
        return new ZoneName(value);
    }

    @Override
    public int compareTo(ZoneName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
