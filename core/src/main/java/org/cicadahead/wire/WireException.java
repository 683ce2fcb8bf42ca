package org.cicadahead.wire;

import java.util.Objects;

/** Thrown when a message could not be exchanged. The kind states whether the peer may have received it. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** The kinds of failures. */
    public enum Kind {
        /** It is certain that the request was not sent. */
        NOT_SENT(false),
        /** The connection was lost after the request was written at least in part. */
        LOST(true),
        /** No reply was received before the timeout. */
        TIMEOUT(true),
        /** The peer reported that it could not serve the request, which may have taken effect nevertheless. */
        REMOTE(true),
        /** A frame or message could not be encoded or decoded. */
        MALFORMED(true);

        private final boolean mayHaveArrived;

        Kind(boolean mayHaveArrived) {
            this.mayHaveArrived = mayHaveArrived;
        }
    }

    /**
     * Creates an exception.
     *
     * @param kind the kind of the failure
     * @param message a sentence for logs
     */
    public WireException(Kind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind the kind of the failure
     * @param message a sentence for logs
     * @param cause the cause
     */
    public WireException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
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
     * Returns whether the peer may have received the request.
     *
     * @return false only if it is certain that the peer did not receive it
     */
    public boolean mayHaveArrived() {
        return kind.mayHaveArrived;
    }
}
