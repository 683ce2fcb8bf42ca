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

    private final ClaimOutcome outcomeForOthers;
    private final boolean evictable;

    ClaimState(ClaimOutcome outcomeForOthers, boolean evictable) {
        this.outcomeForOthers = outcomeForOthers;
        this.evictable = evictable;
    }

    /**
     * Returns what another attempt under the same key is told.
     *
     * @return the outcome
     */
    public ClaimOutcome outcomeForOthers() {
        return outcomeForOthers;
    }

    /**
     * Returns whether a claim in this state is forgotten after its retention.
     *
     * @return false while an endpoint may be running the request
     */
    public boolean isEvictable() {
        return evictable;
    }
}
