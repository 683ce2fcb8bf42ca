package org.cicadahead.protocol;

import org.cicadahead.model.ProgramKey;

/**
 * Asks for a program. Answered by {@link ProgramView} or {@link Refused}.
 *
 * @param program the program
 * @param fromStep the first step of the history to return
 */
public record ReadProgram(ProgramKey program, int fromStep) implements Message {}
