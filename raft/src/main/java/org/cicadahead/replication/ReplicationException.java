package org.cicadahead.replication;

/** A command was not committed, or it is not known whether it was. */
public final class ReplicationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayBeCommitted;

    /**
     * Creates an exception.
     *
     * @param mayBeCommitted false only if the command certainly is not and will not be committed
     * @param message a sentence for logs
     * @param cause the cause, or null
     */
    public ReplicationException(boolean mayBeCommitted, String message, Throwable cause) {
        super(message, cause);
        this.mayBeCommitted = mayBeCommitted;
    }

    /**
     * Returns whether the command may be committed now or later.
     *
     * @return false only if it certainly is not and will not be
     */
    public boolean mayBeCommitted() {
        return mayBeCommitted;
    }
}
