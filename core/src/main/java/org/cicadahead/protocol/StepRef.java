package org.cicadahead.protocol;

import org.cicadahead.model.ProgramKey;

/**
 * A step under a fencing token. Immutable.
 *
 * @param program the program
 * @param step the step
 * @param fence the fencing token
 */
public record StepRef(ProgramKey program, int step, long fence) {}
