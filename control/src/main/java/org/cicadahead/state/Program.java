package org.cicadahead.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cicadahead.model.ProgramKey;

/** State of a program in the {@link ProgramTable}. Mutable; used only by the table. */
final class Program {
    static final long NOT_ENDED = -1;

    final ProgramKey key;
    final Program parent;
    final Program root;
    final int depth;
    final long budgetTokens;
    final Set<ProgramKey> children = new TreeSet<>();
    final FinishedSteps finishedSteps;
    /**
     * Fenced attempts that have not reported their usage yet; until then the whole reservation of each counts as spent.
     */
    final List<Attempt> unsettled = new ArrayList<>();

    Attempt running;
    long ownSpentTokens;
    /** Tokens spent by the program and its sub-agents; maintained only in a root. */
    long spentTokens;
    /** Tokens reserved by the program and its sub-agents; maintained only in a root. */
    long reservedTokens;

    long idleLimitMillis;
    long lastActivityMillis;
    /** When the program ended, in leader time, or {@link #NOT_ENDED}. */
    long endedMillis = NOT_ENDED;

    boolean historyDeleted;

    Program(ProgramKey key, Program parent, long budgetTokens, FinishedSteps finishedSteps) {
        this.key = key;
        this.parent = parent;
        this.root = parent == null ? this : parent.root;
        this.depth = parent == null ? 0 : parent.depth + 1;
        this.budgetTokens = parent == null ? budgetTokens : parent.root.budgetTokens;
        this.finishedSteps = finishedSteps;
    }

    int nextStep() {
        return finishedSteps.count() + 1;
    }

    boolean isEnded() {
        return endedMillis != NOT_ENDED;
    }

    long availableTokens() {
        return root.budgetTokens - root.spentTokens - root.reservedTokens;
    }

    /** Records activity of the program and of its ancestors, as a parent that waits for its sub-agents is not idle. */
    void recordActivity(long nowMillis) {
        for (Program program = this; program != null && !program.isEnded(); program = program.parent) {
            program.lastActivityMillis = nowMillis;
        }
    }

    boolean isIdle(long nowMillis) {
        boolean leased = running != null && running.untilMillis() > nowMillis;
        return !isEnded() && !leased && lastActivityMillis + idleLimitMillis <= nowMillis;
    }

    void reserve(Attempt attempt) {
        running = attempt;
        root.reservedTokens += attempt.reservedTokens();
    }

    /** Ends the running attempt: releases its reservation and charges the tokens that it used. */
    void settle(long usedTokens) {
        root.reservedTokens -= running.reservedTokens();
        charge(usedTokens);
        running = null;
    }

    /**
     * Fences the running attempt, if there is one. Its usage is not known yet, so its whole reservation counts as
     * spent.
     */
    void fenceRunningAttempt() {
        if (running != null) {
            Attempt lost = running;
            settle(lost.reservedTokens());
            if (lost.reservedTokens() > 0) {
                unsettled.add(lost);
            }
        }
    }

    /**
     * Replaces the charge of a fenced attempt by the usage that it reports late. Returns false if there is no such
     * attempt.
     */
    boolean settleLate(long fence, long usedTokens) {
        for (Attempt attempt : unsettled) {
            if (attempt.fence() == fence) {
                unsettled.remove(attempt);
                charge(usedTokens - attempt.reservedTokens());
                return true;
            }
        }
        return false;
    }

    ProgramImage image() {
        return new ProgramImage(
                key,
                parent == null ? null : parent.key,
                budgetTokens,
                finishedSteps.toArray(),
                List.copyOf(unsettled),
                running,
                ownSpentTokens,
                spentTokens,
                reservedTokens,
                idleLimitMillis,
                lastActivityMillis,
                endedMillis,
                historyDeleted);
    }

    private void charge(long tokens) {
        ownSpentTokens += tokens;
        root.spentTokens += tokens;
    }
}
