package org.cicadahead.control;

import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;

/**
 * A step as it is written to segment files and snapshots. It contains the key of its program, so that a read detects a
 * record of another program.
 *
 * @param program the program
 * @param record the step
 */
record StoredStep(ProgramKey program, HistoryRecord record) {}
