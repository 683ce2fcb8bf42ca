package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * The name of a pool.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._-]{1,128}}
 */
public record PoolName(@JsonValue String value) implements Comparable<PoolName> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public PoolName {
        Names.check(value, PATTERN, "pool name");
    }

    /**
     * Returns the pool name with the given text.
     *
     * @param value the text
     * @return the pool name
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static PoolName of(String value) {
        return new PoolName(value);
    }

    @Override
    public int compareTo(PoolName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
