package org.cicadahead.state;

/** The history of a program cannot be kept or read. */
public final class HistoryException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message a sentence for logs
     * @param cause the cause, or null
     */
    public HistoryException(String message, Throwable cause) {
        super(message, cause);
    }
}
