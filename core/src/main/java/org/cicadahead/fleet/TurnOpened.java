package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Answers {@link OpenTurn} and states whether the turn may run.
 *
 * @param verdict whether the turn may run
 * @param history the history that the engine receives before the input; null if the entry holds it
 */
public record TurnOpened(Verdict verdict, byte[] history) implements Message {

    /** The result of opening a turn. */
    public enum Verdict {
        /** The turn may run. */
        OPEN,
        /** The token budget of the program is exhausted. */
        BUDGET_SPENT,
        /** The organisation has no such previous turn. */
        PREVIOUS_UNKNOWN
    }
}
