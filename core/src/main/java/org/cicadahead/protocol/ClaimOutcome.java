package org.cicadahead.protocol;

import java.util.Optional;
import org.cicadahead.model.RefusalReason;

/** What an entry may do with a claimed request. */
public enum ClaimOutcome {
    /** It may forward the request under the fencing token. */
    GRANTED(null),
    /** The request has run; its recorded outcome is in the reply. */
    DONE(null),
    /** The request is running, or another attempt holds the claim. */
    RUNNING(RefusalReason.CLAIM_RUNNING),
    /** Its outcome is not known; it never runs again. */
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
     * @return the reason, or empty if the request goes on or is answered from the record
     */
    public Optional<RefusalReason> refusal() {
        return Optional.ofNullable(refusal);
    }
}
