package org.cicadahead.service;

/** Thrown when a service sent no complete response, or when a call is malformed and was not sent. */
public final class ServiceException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveArrived;

    ServiceException(boolean mayHaveArrived, String message, Throwable cause) {
        super(message, cause);
        this.mayHaveArrived = mayHaveArrived;
    }

    /**
     * Returns whether the service may have received the call.
     *
     * @return false only if it is certain that the service did not receive it
     */
    public boolean mayHaveArrived() {
        return mayHaveArrived;
    }
}
