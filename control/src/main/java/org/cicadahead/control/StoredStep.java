package org.cicadahead.control;

import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;

/**
 * A step as segment files and snapshots keep it, with its program, so that a read can tell a record of another one.
 *
 * @param program the program
 * @param record the step
 */
record StoredStep(ProgramKey program, HistoryRecord record) {}
