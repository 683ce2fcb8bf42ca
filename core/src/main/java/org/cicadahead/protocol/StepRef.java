package org.cicadahead.protocol;

import org.cicadahead.model.ProgramKey;

/**
 * A step together with the fencing token of the attempt that owns it. Immutable.
 *
 * @param program the program
 * @param step the number of the step
 * @param fence the fencing token
 */
public record StepRef(ProgramKey program, int step, long fence) {}
