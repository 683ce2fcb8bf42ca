package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifies an organisation, that is, a customer of the operator.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [A-Za-z0-9._-]{1,64}}
 */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public OrganisationId {
        Names.check(value, PATTERN, "organisation id");
    }

    /**
     * Returns the organisation id with the given text.
     *
     * @param value the text
     * @return the organisation id
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static OrganisationId of(String value) {
        return new OrganisationId(value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
