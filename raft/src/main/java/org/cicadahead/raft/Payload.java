package org.cicadahead.raft;

import java.util.Objects;

/**
 * An encoded command that has not been appended to the log yet. Immutable; the data array must not be modified.
 *
 * @param type the type name of the command
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
