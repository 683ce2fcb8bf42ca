package org.cicadahead.entry;

/** An answer of an endpoint cannot be used. */
final class InvalidResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidResponseException(String message) {
        super(message);
    }
}
