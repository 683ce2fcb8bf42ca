package org.cicadahead.node;

/** Thrown when a role of a daemon cannot start. */
public final class NodeException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message a sentence for operators
     * @param cause the cause, or null
     */
    public NodeException(String message, Throwable cause) {
        super(message, cause);
    }
}
