package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Tells whether a turn may run.
 *
 * @param verdict whether it may
 * @param history what the engine is to receive before the input; null if the entry holds it
 */
public record TurnOpened(Verdict verdict, byte[] history) implements Message {

    /** Whether a turn may run. */
    public enum Verdict {
        /** It may. */
        OPEN,
        /** The budget of the program is used up. */
        BUDGET_SPENT,
        /** The organisation has no such previous turn. */
        PREVIOUS_UNKNOWN
    }
}
