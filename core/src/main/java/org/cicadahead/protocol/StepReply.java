package org.cicadahead.protocol;

import java.util.List;

/**
 * Answers {@link BeginStep}.
 *
 * @param outcome what the entry may do
 * @param fence the fencing token if the outcome is GRANTED
 * @param expectedStep the next step of the program
 * @param history finished steps after the known ones if GRANTED, or the step itself if REPLAYED
 * @param spentTokens tokens that the program itself has used, which orders the run queue
 */
public record StepReply(
        StepOutcome outcome, long fence, int expectedStep, List<HistoryRecord> history, long spentTokens)
        implements Message {

    /** Copies the collections; an absent one is empty. */
    public StepReply {
        history = history == null ? List.of() : List.copyOf(history);
    }
}
