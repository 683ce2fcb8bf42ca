package org.cicadahead.turns;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadahead.fleet.CloseTurn;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.TurnOpened.Verdict;

/**
 * The kept turns and the budgets, replicated on each store. Not thread-safe.
 *
 * <p>All times are log times, that is, the leader's wall-clock times recorded in the log. Each store therefore expires
 * the same rows when it applies the same command. Create a table with {@link #create()}.
 */
public final class TurnTable {
    /**
     * The time for which turns and budgets are kept beyond their retention time, in milliseconds. It is needed because
     * the wall clock of a new leader may be ahead of that of the previous leader, which would expire rows too early.
     */
    static final long CLOCK_SKEW_MARGIN_MILLIS = 20_000;
    /** The interval at which expired rows are removed, in milliseconds of log time. */
    static final long SWEEP_INTERVAL_MILLIS = 2_000;

    private final Map<String, KeptTurn> turns = new HashMap<>();
    private final Map<List<String>, ProgramBudget> budgets = new HashMap<>();
    private final StreamTable streams = new StreamTable();
    private long lastSweepMillis;

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
     * @param request the turn to open
     * @param nowMillis the log time in milliseconds
     * @return whether the turn may run
     */
    public Verdict open(OpenTurn request, long nowMillis) {
        removeExpired(nowMillis);
        if (!request.previous().isEmpty() && !isClosed(request.previous(), request.organisation(), nowMillis)) {
            return Verdict.PREVIOUS_UNKNOWN;
        }
        long keepUntilMillis = nowMillis + request.retentionMillis() + CLOCK_SKEW_MARGIN_MILLIS;
        if (request.budgetTokens() >= 0 && !request.program().isEmpty()) {
            ProgramBudget budget = budget(List.of(request.organisation(), request.program()), nowMillis);
            budget.keepUntil(keepUntilMillis);
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
                            keepUntilMillis,
                            request.retentionMillis()));
        }
        extendChain(request.previous(), keepUntilMillis);
        if (request.softwareVersion() != null) {
            streams.record(request.organisation(), request.turn(), request.softwareVersion(), nowMillis);
        }
        return Verdict.OPEN;
    }

    /**
     * Returns the software versions at which an attempt may have begun a stream.
     *
     * @param organisation the organisation that resumes the stream; empty on open routes
     * @param attempt the id of the attempt; null or empty if no stream is resumed
     * @param nowMillis the log time in milliseconds
     * @return the versions; empty if they are not known
     */
    public Set<String> streamVersions(String organisation, String attempt, long nowMillis) {
        return attempt == null || attempt.isEmpty() ? Set.of() : streams.versions(organisation, attempt, nowMillis);
    }

    /**
     * Closes a turn.
     *
     * @param request the turn to close
     * @param nowMillis the log time in milliseconds
     */
    public void close(CloseTurn request, long nowMillis) {
        removeExpired(nowMillis);
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
            long keepUntilMillis = nowMillis + turn.retentionMillis() + CLOCK_SKEW_MARGIN_MILLIS;
            turns.put(request.turn(), turn.withOutput(request.output(), keepUntilMillis));
            extendChain(turn.previous(), keepUntilMillis);
            if (budget != null) {
                budget.keepUntil(keepUntilMillis);
            }
        }
    }

    /**
     * Returns the text of a chain: the input and output of each turn, oldest first. An engine receives it before the
     * input of a turn that continues the chain.
     *
     * @param turn the last turn of the chain
     * @return the text, or null if a turn of the chain is unknown or open
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
        int position = 0;
        for (KeptTurn each : chain) {
            System.arraycopy(each.input(), 0, text, position, each.input().length);
            position += each.input().length;
            System.arraycopy(each.output(), 0, text, position, each.output().length);
            position += each.output().length;
        }
        return text;
    }

    /**
     * Returns the number of kept turns.
     *
     * @return the number of turns
     */
    public int turns() {
        return turns.size();
    }

    /**
     * Returns the number of budgets.
     *
     * @return the number of budgets
     */
    public int budgets() {
        return budgets.size();
    }

    /**
     * Returns a copy of the tables for a snapshot.
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
        return new TurnImage(turnRows, budgetRows, List.copyOf(streams.rows()));
    }

    /**
     * Restores a turn from a snapshot.
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
     * Restores a budget from a snapshot.
     *
     * @param row the budget
     */
    public void restore(BudgetRow row) {
        budgets.put(
                List.of(row.organisation(), row.program()),
                ProgramBudget.of(row.open(), row.closed(), row.keptUntilMillis()));
    }

    /**
     * Restores the versions of a stream from a snapshot.
     *
     * @param row the stream
     */
    public void restore(StreamRow row) {
        streams.restore(row);
    }

    private ProgramBudget budget(List<String> program, long nowMillis) {
        ProgramBudget budget = budgets.get(program);
        if (budget == null || budget.keptUntilMillis() < nowMillis) {
            budget = ProgramBudget.create();
            budgets.put(program, budget);
        }
        return budget;
    }

    /**
     * Returns whether the turn is kept, closed and of the organisation. An expired turn counts as unknown even if it is
     * still in the table, because a store restored from a snapshot may already have removed it and must give the same
     * result.
     */
    private boolean isClosed(String turn, String organisation, long nowMillis) {
        KeptTurn kept = turns.get(turn);
        return kept != null
                && kept.output() != null
                && kept.keptUntilMillis() >= nowMillis
                && kept.organisation().equals(organisation);
    }

    private void extendChain(String last, long untilMillis) {
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

    private void removeExpired(long nowMillis) {
        if (nowMillis - lastSweepMillis < SWEEP_INTERVAL_MILLIS) {
            return;
        }
        lastSweepMillis = nowMillis;
        turns.values().removeIf(turn -> turn.keptUntilMillis() < nowMillis);
        budgets.values().removeIf(budget -> budget.keptUntilMillis() < nowMillis);
        streams.removeExpired(nowMillis);
    }
}
