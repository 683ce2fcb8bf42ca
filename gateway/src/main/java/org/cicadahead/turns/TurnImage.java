package org.cicadahead.turns;

import java.util.List;

/**
 * A consistent copy of the tables for a snapshot. Immutable.
 *
 * @param turns the kept turns
 * @param budgets the budgets
 * @param streams the streams with the versions at which they may have begun
 */
public record TurnImage(List<TurnRow> turns, List<BudgetRow> budgets, List<StreamRow> streams) {

    /** Copies the lists. */
    public TurnImage {
        turns = List.copyOf(turns);
        budgets = List.copyOf(budgets);
        streams = List.copyOf(streams);
    }
}
