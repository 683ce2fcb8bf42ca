package org.cicadahead.replication;

/**
 * Thrown when a command or a membership change was not committed, when it is unknown whether it was, or when a replica
 * cannot start.
 */
public final class ReplicationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayBeCommitted;

    /**
     * Creates an exception.
     *
     * @param mayBeCommitted false only if the command is certain not to be committed now or later
     * @param message a description for logs
     * @param cause the cause, or null
     */
    public ReplicationException(boolean mayBeCommitted, String message, Throwable cause) {
        super(message, cause);
        this.mayBeCommitted = mayBeCommitted;
    }

    /**
     * Returns whether the command may have been committed or may still be committed.
     *
     * @return false only if the command is certain not to be committed now or later
     */
    public boolean mayBeCommitted() {
        return mayBeCommitted;
    }
}
