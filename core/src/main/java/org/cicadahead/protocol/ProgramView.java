package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * Answers {@link ReadProgram}.
 *
 * @param program the program
 * @param root the root program, whose budget it uses
 * @param nextStep the number of the next step
 * @param spentTokens tokens used, sub-agents included
 * @param reservedTokens tokens reserved by running steps
 * @param budgetTokens the budget
 * @param ended whether it has ended
 * @param history finished steps, starting at the requested one
 */
public record ProgramView(
        ProgramKey program,
        ProgramKey root,
        int nextStep,
        long spentTokens,
        long reservedTokens,
        long budgetTokens,
        boolean ended,
        List<HistoryRecord> history)
        implements Message {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public ProgramView {
        history = history == null ? List.of() : List.copyOf(history);
    }
}
