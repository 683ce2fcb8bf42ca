package org.cicadahead.protocol;

import java.util.Optional;
import org.cicadahead.model.RefusalReason;

/** The result of a claim, which decides what an entry may do with the request. */
public enum ClaimOutcome {
    /** The entry may forward the request under the fencing token. */
    GRANTED(null),
    /** The request has run; its recorded outcome is in the reply. */
    DONE(null),
    /** The request is running, or another attempt holds the claim. */
    RUNNING(RefusalReason.CLAIM_RUNNING),
    /** The outcome of the request is unknown; the request is never run again. */
    UNKNOWN(RefusalReason.OUTCOME_UNKNOWN),
    /** The key was used for another request. */
    REUSED(RefusalReason.IDEMPOTENCY_KEY_REUSED);

    private final RefusalReason refusal;

    ClaimOutcome(RefusalReason refusal) {
        this.refusal = refusal;
    }

    /**
     * Returns the refusal that the caller gets.
     *
     * @return the reason, or empty if the request may run or is answered from the recorded outcome
     */
    public Optional<RefusalReason> refusal() {
        return Optional.ofNullable(refusal);
    }
}
