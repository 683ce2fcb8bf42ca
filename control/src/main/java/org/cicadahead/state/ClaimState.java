package org.cicadahead.state;

import org.cicadahead.protocol.ClaimOutcome;

/** The states of a claim, with what another attempt under the same key is told. */
public enum ClaimState {
    /** An entry holds the claim; nothing was started. */
    PENDING(ClaimOutcome.RUNNING, true),
    /** An endpoint may be running the request. */
    STARTED(ClaimOutcome.RUNNING, false),
    /** The request ran; its outcome is recorded. */
    DONE(ClaimOutcome.DONE, true),
    /** The request may have run; it never runs again. */
    UNKNOWN(ClaimOutcome.UNKNOWN, true),
    /** The attempt was closed before it ran. */
    RELEASED(ClaimOutcome.GRANTED, true);

    private final ClaimOutcome toOthers;
    private final boolean forgettable;

    ClaimState(ClaimOutcome toOthers, boolean forgettable) {
        this.toOthers = toOthers;
        this.forgettable = forgettable;
    }

    /**
     * Returns what another attempt under the same key is told.
     *
     * @return the outcome
     */
    public ClaimOutcome toOthers() {
        return toOthers;
    }

    /**
     * Returns whether a claim in this state is forgotten after its retention.
     *
     * @return false while an endpoint may be running the request
     */
    public boolean isForgettable() {
        return forgettable;
    }
}
