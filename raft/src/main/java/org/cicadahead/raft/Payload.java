package org.cicadahead.raft;

import java.util.Objects;

/**
 * A command that is not in the log yet. Immutable; the data must not be changed.
 *
 * @param type the type name
 * @param data the encoded command
 */
public record Payload(String type, byte[] data) {

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if a field is null
     */
    public Payload {
        Objects.requireNonNull(type, "The type must not be null");
        Objects.requireNonNull(data, "The data must not be null");
    }
}
