package org.cicadahead.fleet;

import java.util.Set;
import org.cicadahead.protocol.Message;

/**
 * Answers {@link OpenTurn} and states whether the turn may run.
 *
 * @param verdict whether the turn may run
 * @param history the history that the engine receives before the input; null if the entry holds it
 * @param resumedVersions the software versions at which the resumed stream may have begun; empty if they are not known
 */
public record TurnOpened(Verdict verdict, byte[] history, Set<String> resumedVersions) implements Message {

    /** Copies the set; null, which stores of earlier releases send, becomes an empty set. */
    public TurnOpened {
        resumedVersions = resumedVersions == null ? Set.of() : Set.copyOf(resumedVersions);
    }

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
