package org.cicadahead.entry;

/** Thrown when the response of an endpoint is not usable. */
final class InvalidResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidResponseException(String message) {
        super(message);
    }
}
