package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifies one request of a caller or one edit of an operator.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._:-]{1,64}}
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public RequestId {
        Names.check(value, PATTERN, "request id");
    }

    /**
     * Returns the request id with the given text.
     *
     * @param value the text
     * @return the request id
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
