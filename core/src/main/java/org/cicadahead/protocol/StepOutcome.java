package org.cicadahead.protocol;

import java.util.Optional;
import org.cicadahead.model.RefusalReason;

/** The result of a request to begin a step, which decides what an entry may do. */
public enum StepOutcome {
    /** The entry may run the step under the fencing token. */
    GRANTED(null),
    /** The step has finished; its recorded answer is in the reply. */
    REPLAYED(null),
    /** The step is already running. */
    RUNNING(RefusalReason.STEP_RUNNING),
    /** The step was sent before with another digest. */
    CHANGED(RefusalReason.STEP_CHANGED),
    /** The step is not the next one. */
    OUT_OF_ORDER(RefusalReason.STEP_OUT_OF_ORDER),
    /** The token budget or the step limit does not allow the step. */
    BUDGET_EXHAUSTED(RefusalReason.BUDGET_EXHAUSTED),
    /** The program has ended. */
    ENDED(RefusalReason.PROGRAM_ENDED),
    /** The parent program does not exist. */
    PARENT_UNKNOWN(RefusalReason.PROGRAM_UNKNOWN);

    private final RefusalReason refusal;

    StepOutcome(RefusalReason refusal) {
        this.refusal = refusal;
    }

    /**
     * Returns the refusal that the caller gets.
     *
     * @return the reason, or empty if the step may run or is answered from the record
     */
    public Optional<RefusalReason> refusal() {
        return Optional.ofNullable(refusal);
    }
}
