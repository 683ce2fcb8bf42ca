package org.cicadahead.engine;

import java.util.Objects;

/** Thrown when a request to an engine has failed. */
public final class EngineException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final int status;

    /** The kinds of failures. */
    public enum Kind {
        /** The request could not be sent. */
        NOT_SENT(false),
        /** The connection was lost, and the stream could not be resumed. */
        LOST(true),
        /** No response arrived before the timeout. */
        TIMEOUT(true),
        /** The engine responded with an error status. */
        REFUSED(true),
        /** The request body is not a valid JSON object; the request was not sent. */
        INVALID(false),
        /** The response could not be parsed or is too large. */
        MALFORMED(true),
        /** The order carries an outdated fencing token and was not sent. */
        FENCED(false);

        private final boolean mayHaveArrived;

        Kind(boolean mayHaveArrived) {
            this.mayHaveArrived = mayHaveArrived;
        }
    }

    EngineException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
        this.status = 0;
    }

    EngineException(int status, String message) {
        super(message + ": status " + status);
        this.kind = Kind.REFUSED;
        this.status = status;
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the HTTP status of the response.
     *
     * @return the status, or 0 if there was no error response
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether the engine may have received the request.
     *
     * @return false only if it is certain that the engine did not receive it
     */
    public boolean mayHaveArrived() {
        return kind.mayHaveArrived;
    }
}
