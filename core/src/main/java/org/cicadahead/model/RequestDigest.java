package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of the content of a request, in lower-case hexadecimal.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [0-9a-f]{64}}
 */
public record RequestDigest(@JsonValue String value) implements Comparable<RequestDigest> {
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public RequestDigest {
        Names.check(value, PATTERN, "request digest");
    }

    /**
     * Returns the request digest with the given text.
     *
     * @param value the text
     * @return the request digest
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static RequestDigest of(String value) {
        return new RequestDigest(value);
    }

    @Override
    public int compareTo(RequestDigest other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
