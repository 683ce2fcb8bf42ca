package org.cicadahead.caller;

import org.cicadahead.model.RefusalReason;

/** Thrown when a request is refused before it is dispatched to an endpoint, so that it certainly did not run. */
public final class RefusalException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates an exception.
     *
     * @param reason the reason
     * @param detail a human-readable explanation
     */
    public RefusalException(RefusalReason reason, String detail) {
        super(detail, null, false, false);
        this.refusal = Refusal.before(reason, detail);
    }

    /**
     * Returns the refusal.
     *
     * @return the refusal
     */
    public Refusal refusal() {
        return refusal;
    }
}
