package org.cicadahead.turns;

import java.util.List;

/**
 * The tables frozen for a snapshot. Immutable.
 *
 * @param turns the kept turns
 * @param budgets the budgets
 */
public record TurnImage(List<TurnRow> turns, List<BudgetRow> budgets) {

    /** Copies the lists. */
    public TurnImage {
        turns = List.copyOf(turns);
        budgets = List.copyOf(budgets);
    }
}
