package org.cicadahead.testbed.client;

import java.util.Objects;

/**
 * One step of a program as a caller sends it. Immutable.
 *
 * @param program the program
 * @param parent the program that started this one as a sub-agent, or null
 * @param step the step, from 1
 * @param end whether it is the last step
 * @param content the new message
 * @param maxTokens the longest answer in tokens
 */
public record Turn(String program, String parent, int step, boolean end, String content, int maxTokens) {

    /** Checks the values. */
    public Turn {
        Objects.requireNonNull(program, "The program must not be null");
        Objects.requireNonNull(content, "The content must not be null");
        if (step < 1 || maxTokens < 1) {
            throw new IllegalArgumentException("The step and the tokens must be at least 1");
        }
    }

    /**
     * Returns the first step of a program.
     *
     * @param program the program
     * @param content the message
     * @param maxTokens the longest answer in tokens
     * @return the turn
     */
    public static Turn first(String program, String content, int maxTokens) {
        return new Turn(program, null, 1, false, content, maxTokens);
    }

    /**
     * Returns the step after this one.
     *
     * @param message the message
     * @return the turn
     */
    public Turn next(String message) {
        return new Turn(program, parent, step + 1, false, message, maxTokens);
    }

    /**
     * Returns this turn as the last one of its program.
     *
     * @return the turn
     */
    public Turn last() {
        return new Turn(program, parent, step, true, content, maxTokens);
    }

    /**
     * Returns this turn as a step of a sub-agent.
     *
     * @param starter the program that started it
     * @return the turn
     */
    public Turn of(String starter) {
        return new Turn(program, starter, step, end, content, maxTokens);
    }
}
