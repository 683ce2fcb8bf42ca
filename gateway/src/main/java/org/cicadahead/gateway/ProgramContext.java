package org.cicadahead.gateway;

import java.util.Objects;

/**
 * The place of a request in a program. Immutable.
 *
 * @param program the program
 * @param session the line of turns; empty if it is not told
 * @param timeLeftMillis the time left until the program should be finished, in milliseconds; -1 if it is not told
 * @param budgetTokens the tokens that all turns of the program may generate; -1 if not limited
 */
public record ProgramContext(String program, String session, long timeLeftMillis, long budgetTokens) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a text is null
     */
    public ProgramContext {
        Objects.requireNonNull(program, "The program must not be null");
        Objects.requireNonNull(session, "The session must not be null");
    }
}
