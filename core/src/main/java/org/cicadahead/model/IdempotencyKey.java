package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * The key by which a caller marks retries of the same request; unique within an organisation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [\x21-\x7e]{1,128}}
 */
public record IdempotencyKey(@JsonValue String value) implements Comparable<IdempotencyKey> {
    private static final Pattern PATTERN = Pattern.compile("[\\x21-\\x7e]{1,128}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public IdempotencyKey {
        Names.check(value, PATTERN, "idempotency key");
    }

    /**
     * Returns the idempotency key with the given text.
     *
     * @param value the text
     * @return the idempotency key
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static IdempotencyKey of(String value) {
        return new IdempotencyKey(value);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
