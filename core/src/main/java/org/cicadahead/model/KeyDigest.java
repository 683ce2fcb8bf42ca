package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of a caller's API key in lower-case hexadecimal; the key itself is never stored.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [0-9a-f]{64}}
 */
public record KeyDigest(@JsonValue String value) implements Comparable<KeyDigest> {
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public KeyDigest {
        Names.check(value, PATTERN, "key digest");
    }

    /**
     * Returns the key digest with the given text.
     *
     * @param value the text
     * @return the key digest
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static KeyDigest of(String value) {
        return new KeyDigest(value);
    }

    @Override
    public int compareTo(KeyDigest other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
