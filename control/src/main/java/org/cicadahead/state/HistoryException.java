package org.cicadahead.state;

/** Thrown if the history of a program cannot be written or read. */
public final class HistoryException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the detail message
     * @param cause the cause, or null
     */
    public HistoryException(String message, Throwable cause) {
        super(message, cause);
    }
}
