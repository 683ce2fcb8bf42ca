package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * The name of a route.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._:/-]{1,128}}
 */
public record RouteName(@JsonValue String value) implements Comparable<RouteName> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public RouteName {
        Names.check(value, PATTERN, "route name");
    }

    /**
     * Returns the route name with the given text.
     *
     * @param value the text
     * @return the route name
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static RouteName of(String value) {
        return new RouteName(value);
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
