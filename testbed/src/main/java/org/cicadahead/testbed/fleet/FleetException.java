package org.cicadahead.testbed.fleet;

/** A process of a fleet cannot be started, reached or ended. */
public final class FleetException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message a sentence for the person who runs the command
     * @param cause the cause, or null
     */
    public FleetException(String message, Throwable cause) {
        super(message, cause);
    }
}
