package org.cicadahead.state;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * The content of a program for a snapshot. Immutable.
 *
 * @param key the program
 * @param parent its parent, or null
 * @param budgetTokens the budget of its root in tokens
 * @param marks two words for each finished step: the digest prefix of its request and its fencing token
 * @param unsettled fenced attempts that have not reported their usage
 * @param running the running attempt, or null
 * @param ownSpentTokens tokens spent by the program itself
 * @param spentTokens tokens spent including its sub-agents; maintained only in a root
 * @param reservedTokens tokens reserved including its sub-agents; maintained only in a root
 * @param idleLimitMillis the idle limit in milliseconds
 * @param touchedMillis the time of the last activity, in leader time
 * @param endedMillis when the program ended, in leader time, or -1
 * @param historyDeleted whether its history has been deleted
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
