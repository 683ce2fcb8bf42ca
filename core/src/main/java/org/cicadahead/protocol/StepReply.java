package org.cicadahead.protocol;

import java.util.List;

/**
 * Answers {@link BeginStep}.
 *
 * @param outcome the result, which decides what the entry may do
 * @param fence the fencing token if the outcome is GRANTED
 * @param expectedStep the number of the next step of the program
 * @param history if GRANTED, the finished steps that the entry does not hold; if REPLAYED, the step itself
 * @param spentTokens tokens that the program itself has used, by which the run queue orders programs
 */
public record StepReply(
        StepOutcome outcome, long fence, int expectedStep, List<HistoryRecord> history, long spentTokens)
        implements Message {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public StepReply {
        history = history == null ? List.of() : List.copyOf(history);
    }
}
