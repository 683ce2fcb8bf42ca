package org.cicadahead.engine;

import java.util.Objects;

/** An engine did not do what it was asked. */
public final class EngineException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final int status;

    /** What went wrong. */
    public enum Kind {
        /** The request certainly did not leave this process. */
        NOT_SENT(false),
        /** The connection was lost, and the engine could not resume. */
        LOST(true),
        /** No answer came in time. */
        TIMEOUT(true),
        /** The engine answered with an error status. */
        REFUSED(true),
        /** The request is not a JSON object, and was not sent. */
        INVALID(false),
        /** The answer could not be understood. */
        MALFORMED(true),
        /** The order carries an old fencing token. */
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
     * Returns what went wrong.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status, or 0 if there was none
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether the engine may have got the request.
     *
     * @return false only if it certainly did not
     */
    public boolean mayHaveArrived() {
        return kind.mayHaveArrived;
    }
}
