package org.cicadahead.entry;

/** An answer of an endpoint cannot be used. */
final class AnswerException extends Exception {
    private static final long serialVersionUID = 1L;

    AnswerException(String message) {
        super(message);
    }
}
