package org.cicadahead.state;

import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;

/** Stores the histories of programs outside the tables. It is called in the order of the commands in the log. */
public interface HistorySink {

    /**
     * Appends a finished step.
     *
     * @param program the program
     * @param step the step, whose number is one more than that of the previous step
     * @throws HistoryException if the step cannot be written
     */
    void append(ProgramKey program, HistoryRecord step) throws HistoryException;

    /**
     * Deletes the history of a program. Does nothing if the program has no history.
     *
     * @param program the program
     */
    void delete(ProgramKey program);
}
