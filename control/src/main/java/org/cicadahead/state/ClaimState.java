package org.cicadahead.state;

import org.cicadahead.protocol.ClaimOutcome;

/** The states of a claim, each with the reply to another attempt under the same key. */
public enum ClaimState {
    /** An entry holds the claim; no endpoint has started the request. */
    PENDING(ClaimOutcome.RUNNING, true),
    /** An endpoint may be running the request. */
    STARTED(ClaimOutcome.RUNNING, false),
    /** The request ran; its outcome is recorded. */
    DONE(ClaimOutcome.DONE, true),
    /** Whether the request ran is not known; it must not run again. */
    UNKNOWN(ClaimOutcome.UNKNOWN, true),
    /** The attempt was released or abandoned before the request ran; the request may be claimed again. */
    RELEASED(ClaimOutcome.GRANTED, true);

    private final ClaimOutcome outcomeForOthers;
    private final boolean evictable;

    ClaimState(ClaimOutcome outcomeForOthers, boolean evictable) {
        this.outcomeForOthers = outcomeForOthers;
        this.evictable = evictable;
    }

    /**
     * Returns the reply to another attempt under the same key.
     *
     * @return the outcome
     */
    public ClaimOutcome outcomeForOthers() {
        return outcomeForOthers;
    }

    /**
     * Returns whether a claim in this state is removed after its retention time.
     *
     * @return false while an endpoint may be running the request
     */
    public boolean isEvictable() {
        return evictable;
    }
}
