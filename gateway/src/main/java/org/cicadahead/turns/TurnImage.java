package org.cicadahead.turns;

import java.util.List;

/**
 * A consistent copy of the tables for a snapshot. Immutable.
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
