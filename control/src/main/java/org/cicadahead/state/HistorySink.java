package org.cicadahead.state;

import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;

/** Keeps the histories of programs outside the tables. Called in log order by the owner of the tables. */
public interface HistorySink {

    /**
     * Appends a finished step.
     *
     * @param program the program
     * @param step the step; its number is one more than that of the step before
     * @throws HistoryException if the step cannot be kept
     */
    void append(ProgramKey program, HistoryRecord step) throws HistoryException;

    /**
     * Deletes the history of a program. A program without one is ignored.
     *
     * @param program the program
     */
    void delete(ProgramKey program);
}
