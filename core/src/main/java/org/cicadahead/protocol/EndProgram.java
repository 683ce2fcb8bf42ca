package org.cicadahead.protocol;

import org.cicadahead.model.ProgramKey;

/**
 * Ends a program and its sub-agents. Answered by {@link Done}.
 *
 * @param program the program
 * @param cause the reason, for operators
 */
public record EndProgram(ProgramKey program, String cause) implements Command {}
