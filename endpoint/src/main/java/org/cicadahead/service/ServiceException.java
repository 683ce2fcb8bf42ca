package org.cicadahead.service;

/** A service gave no complete answer. */
public final class ServiceException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveArrived;

    ServiceException(boolean mayHaveArrived, String message, Throwable cause) {
        super(message, cause);
        this.mayHaveArrived = mayHaveArrived;
    }

    /**
     * Returns whether the service may have got the call.
     *
     * @return false only if it certainly did not
     */
    public boolean mayHaveArrived() {
        return mayHaveArrived;
    }
}
