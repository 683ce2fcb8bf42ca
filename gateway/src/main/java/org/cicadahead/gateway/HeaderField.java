package org.cicadahead.gateway;

import java.util.Objects;

/**
 * A header that is passed on as it is. Immutable.
 *
 * @param name its name
 * @param value its value
 */
public record HeaderField(String name, String value) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a value is null
     */
    public HeaderField {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(value, "The value must not be null");
    }
}
