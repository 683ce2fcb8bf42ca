package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifies a program within its organisation; chosen by the caller.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._:-]{1,64}}
 */
public record ProgramId(@JsonValue String value) implements Comparable<ProgramId> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public ProgramId {
        Names.check(value, PATTERN, "program id");
    }

    /**
     * Returns the program id with the given text.
     *
     * @param value the text
     * @return the program id
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ProgramId of(String value) {
        return new ProgramId(value);
    }

    @Override
    public int compareTo(ProgramId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
