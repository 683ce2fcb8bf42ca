package org.cicadahead.turns;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadahead.fleet.CloseTurn;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.TurnOpened.Verdict;

/**
 * Kept turns and budgets, as the same on each store. Not safe for use by several threads.
 *
 * <p>All times are those of the log, so that each store forgets the same at the same command. The first use is
 * {@link #create()}.
 */
public final class TurnTable {
    /**
     * Turns and budgets are kept this much longer than asked for, in milliseconds, as the wall clock of a new leader
     * may be ahead of that of the leader before.
     */
    static final long MARGIN_MILLIS = 20_000;
    /** How often what has expired is removed, in milliseconds of the log's time. */
    static final long SWEEP_MILLIS = 2_000;

    private final Map<String, KeptTurn> turns = new HashMap<>();
    private final Map<List<String>, ProgramBudget> budgets = new HashMap<>();
    private long sweptMillis;

    private TurnTable() {}

    /**
     * Returns empty tables.
     *
     * @return the tables
     */
    public static TurnTable create() {
        return new TurnTable();
    }

    /**
     * Opens a turn.
     *
     * @param request the turn
     * @param nowMillis the log's time in milliseconds
     * @return whether it may run
     */
    public Verdict open(OpenTurn request, long nowMillis) {
        sweep(nowMillis);
        if (!request.previous().isEmpty() && !isClosed(request.previous(), request.organisation(), nowMillis)) {
            return Verdict.PREVIOUS_UNKNOWN;
        }
        long until = nowMillis + request.retentionMillis() + MARGIN_MILLIS;
        if (request.budgetTokens() >= 0 && !request.program().isEmpty()) {
            ProgramBudget budget = budget(List.of(request.organisation(), request.program()), nowMillis);
            budget.keepUntil(until);
            if (!budget.allows(request.turn(), request.budgetTokens())) {
                return Verdict.BUDGET_SPENT;
            }
            budget.open(request.turn(), request.maxTokens());
        }
        if (request.input() != null) {
            turns.putIfAbsent(
                    request.turn(),
                    new KeptTurn(
                            request.organisation(),
                            request.previous(),
                            request.input(),
                            null,
                            until,
                            request.retentionMillis()));
        }
        keepChain(request.previous(), until);
        return Verdict.OPEN;
    }

    /**
     * Closes a turn.
     *
     * @param request the turn
     * @param nowMillis the log's time in milliseconds
     */
    public void close(CloseTurn request, long nowMillis) {
        sweep(nowMillis);
        ProgramBudget budget = budgets.get(List.of(request.organisation(), request.program()));
        if (budget != null) {
            budget.close(request.turn(), request.tokens());
        }
        KeptTurn turn = turns.get(request.turn());
        if (turn == null || turn.output() != null) {
            return;
        }
        if (request.output() == null) {
            turns.remove(request.turn());
        } else {
            long until = nowMillis + turn.retentionMillis() + MARGIN_MILLIS;
            turns.put(request.turn(), turn.closed(request.output(), until));
            keepChain(turn.previous(), until);
            if (budget != null) {
                budget.keepUntil(until);
            }
        }
    }

    /**
     * Returns what an engine is to receive before the input of a turn that continues another: input and output of each
     * turn of the chain, the oldest first.
     *
     * @param turn the last turn of the chain
     * @return the text, or null if a turn of the chain is not known
     */
    public byte[] history(String turn) {
        Deque<KeptTurn> chain = new ArrayDeque<>();
        int length = 0;
        for (String next = turn; !next.isEmpty(); next = chain.peek().previous()) {
            KeptTurn each = turns.get(next);
            if (each == null || each.output() == null) {
                return null;
            }
            chain.push(each);
            length += each.input().length + each.output().length;
        }
        byte[] text = new byte[length];
        int at = 0;
        for (KeptTurn each : chain) {
            System.arraycopy(each.input(), 0, text, at, each.input().length);
            at += each.input().length;
            System.arraycopy(each.output(), 0, text, at, each.output().length);
            at += each.output().length;
        }
        return text;
    }

    /**
     * Returns how many turns are kept.
     *
     * @return the number
     */
    public int turns() {
        return turns.size();
    }

    /**
     * Returns how many budgets are kept.
     *
     * @return the number
     */
    public int budgets() {
        return budgets.size();
    }

    /**
     * Freezes the tables.
     *
     * @return the image
     */
    public TurnImage image() {
        List<TurnRow> turnRows = new ArrayList<>();
        turns.forEach((id, turn) -> turnRows.add(new TurnRow(
                id,
                turn.organisation(),
                turn.previous(),
                turn.input(),
                turn.output(),
                turn.keptUntilMillis(),
                turn.retentionMillis())));
        List<BudgetRow> budgetRows = new ArrayList<>();
        budgets.forEach((key, budget) -> budgetRows.add(new BudgetRow(
                key.get(0), key.get(1), budget.openTurns(), budget.closedTurns(), budget.keptUntilMillis())));
        return new TurnImage(turnRows, budgetRows);
    }

    /**
     * Adds a turn of a snapshot.
     *
     * @param row the turn
     */
    public void restore(TurnRow row) {
        turns.put(
                row.turn(),
                new KeptTurn(
                        row.organisation(),
                        row.previous(),
                        row.input(),
                        row.output(),
                        row.keptUntilMillis(),
                        row.retentionMillis()));
    }

    /**
     * Adds a budget of a snapshot.
     *
     * @param row the budget
     */
    public void restore(BudgetRow row) {
        budgets.put(
                List.of(row.organisation(), row.program()),
                ProgramBudget.of(row.open(), row.closed(), row.keptUntilMillis()));
    }

    private ProgramBudget budget(List<String> program, long nowMillis) {
        ProgramBudget budget = budgets.get(program);
        if (budget == null || budget.keptUntilMillis() < nowMillis) {
            budget = ProgramBudget.create();
            budgets.put(program, budget);
        }
        return budget;
    }

    /** Looks at the times, as a store that restored a snapshot may have removed what another still holds. */
    private boolean isClosed(String turn, String organisation, long nowMillis) {
        KeptTurn kept = turns.get(turn);
        return kept != null
                && kept.output() != null
                && kept.keptUntilMillis() >= nowMillis
                && kept.organisation().equals(organisation);
    }

    private void keepChain(String last, long untilMillis) {
        String next = last;
        while (!next.isEmpty()) {
            KeptTurn each = turns.get(next);
            if (each == null || each.keptUntilMillis() >= untilMillis) {
                return;
            }
            turns.put(next, each.keptUntil(untilMillis));
            next = each.previous();
        }
    }

    private void sweep(long nowMillis) {
        if (nowMillis - sweptMillis < SWEEP_MILLIS) {
            return;
        }
        sweptMillis = nowMillis;
        turns.values().removeIf(turn -> turn.keptUntilMillis() < nowMillis);
        budgets.values().removeIf(budget -> budget.keptUntilMillis() < nowMillis);
    }
}
