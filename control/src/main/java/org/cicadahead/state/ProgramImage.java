package org.cicadahead.state;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * A program as values.
 *
 * @param key the program
 * @param parent its parent, or null
 * @param budgetTokens the budget of its root
 * @param marks the finished steps
 * @param unsettled fenced attempts that did not report
 * @param running the running attempt, or null
 * @param ownSpentTokens tokens spent by itself
 * @param spentTokens tokens spent with its sub-agents, for a root
 * @param reservedTokens tokens reserved with its sub-agents, for a root
 * @param idleLimitMillis the idle limit
 * @param touchedMillis the last activity in leader time
 * @param endedMillis the end in leader time, or -1
 * @param historyDeleted whether its history is deleted
 */
public record ProgramImage(
        ProgramKey key,
        ProgramKey parent,
        long budgetTokens,
        long[] marks,
        List<Attempt> unsettled,
        Attempt running,
        long ownSpentTokens,
        long spentTokens,
        long reservedTokens,
        long idleLimitMillis,
        long touchedMillis,
        long endedMillis,
        boolean historyDeleted) {

    Program toProgram(Program parentProgram) {
        Program program = new Program(key, parentProgram, budgetTokens, FinishedSteps.from(marks));
        program.unsettled.addAll(unsettled);
        program.running = running;
        program.ownSpentTokens = ownSpentTokens;
        program.spentTokens = spentTokens;
        program.reservedTokens = reservedTokens;
        program.idleLimitMillis = idleLimitMillis;
        program.lastActivityMillis = touchedMillis;
        program.endedMillis = endedMillis;
        program.historyDeleted = historyDeleted;
        if (parentProgram != null) {
            parentProgram.children.add(key);
        }
        return program;
    }
}
