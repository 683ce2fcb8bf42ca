package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * Answers {@link ReadProgram}.
 *
 * @param program the program
 * @param root the program whose budget it uses
 * @param nextStep the next step
 * @param spentTokens tokens used, sub-agents included
 * @param reservedTokens tokens reserved by running steps
 * @param budgetTokens the budget
 * @param ended whether it has ended
 * @param history finished steps from the wanted one
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

    /** Copies the collections; an absent one is empty. */
    public ProgramView {
        history = history == null ? List.of() : List.copyOf(history);
    }
}
