package org.cicadahead.turns;

import java.util.Map;

/**
 * The budget of a program in a snapshot. Immutable.
 *
 * @param organisation the organisation that the program belongs to
 * @param program its id
 * @param open the open turns with the most tokens that each generates
 * @param closed the closed turns with the tokens that each handed to its caller
 * @param keptUntilMillis when it may be forgotten, in milliseconds of the log's time
 */
public record BudgetRow(
        String organisation, String program, Map<String, Long> open, Map<String, Long> closed, long keptUntilMillis) {

    /** Copies the maps. */
    public BudgetRow {
        open = open == null ? Map.of() : Map.copyOf(open);
        closed = closed == null ? Map.of() : Map.copyOf(closed);
    }
}
