package org.cicadahead.turns;

import java.util.Map;

/**
 * The budget of a program in a snapshot. Immutable.
 *
 * @param organisation the organisation that the program belongs to
 * @param program the id of the program
 * @param open the open turns, with the maximum number of tokens that each may generate
 * @param closed the closed turns, with the number of tokens that each sent to its caller
 * @param keptUntilMillis the expiry time, in milliseconds of log time
 */
public record BudgetRow(
        String organisation, String program, Map<String, Long> open, Map<String, Long> closed, long keptUntilMillis) {

    /** Copies the maps. */
    public BudgetRow {
        open = open == null ? Map.of() : Map.copyOf(open);
        closed = closed == null ? Map.of() : Map.copyOf(closed);
    }
}
