package org.cicadahead.wire;

import java.util.Objects;

/** A message could not be exchanged. The kind says whether the other side may have got it. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** What went wrong. */
    public enum Kind {
        /** The request certainly did not leave this process. */
        NOT_SENT(false),
        /** The connection was lost after the request was written, at least in part. */
        LOST(true),
        /** No answer came in time. */
        TIMEOUT(true),
        /** The other side could not serve the request; it says nothing of whether it took effect. */
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
     * @param kind what went wrong
     * @param message a sentence for logs
     */
    public WireException(Kind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind what went wrong
     * @param message a sentence for logs
     * @param cause the cause
     */
    public WireException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
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
     * Returns whether the other side may have got the request.
     *
     * @return false only if it certainly did not
     */
    public boolean mayHaveArrived() {
        return kind.mayHaveArrived;
    }
}
