package org.cicadahead.gateway;

import java.util.Objects;

/**
 * An HTTP header that is forwarded unchanged. Immutable.
 *
 * @param name the name of the header
 * @param value the value of the header
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
