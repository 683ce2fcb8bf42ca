package org.cicadahead.gateway;

import java.util.Objects;

/**
 * The program that a request belongs to, and its limits. Immutable.
 *
 * @param program the id of the program
 * @param session the id of the session, a sequence of turns with a common prompt prefix; empty if not given
 * @param timeLeftMillis the time left until the deadline of the program, in milliseconds; -1 if not given
 * @param budgetTokens the maximum number of tokens that all turns of the program may generate; -1 if unlimited
 */
public record ProgramContext(String program, String session, long timeLeftMillis, long budgetTokens) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if the program or the session is null
     */
    public ProgramContext {
        Objects.requireNonNull(program, "The program must not be null");
        Objects.requireNonNull(session, "The session must not be null");
    }
}
