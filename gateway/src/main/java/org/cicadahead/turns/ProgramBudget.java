package org.cicadahead.turns;

import java.util.HashMap;
import java.util.Map;

/** The tokens that the turns of one program have used or reserved. Mutable; owned by {@link TurnTable}. */
final class ProgramBudget {
    private final Map<String, Long> open = new HashMap<>();
    private final Map<String, Long> closed = new HashMap<>();
    private long keptUntilMillis;

    static ProgramBudget create() {
        return new ProgramBudget();
    }

    static ProgramBudget of(Map<String, Long> open, Map<String, Long> closed, long keptUntilMillis) {
        ProgramBudget budget = new ProgramBudget();
        budget.open.putAll(open);
        budget.closed.putAll(closed);
        budget.keptUntilMillis = keptUntilMillis;
        return budget;
    }

    /**
     * Returns whether the turn may run. Open turns count with their maximum number of tokens; a turn that was already
     * opened may run, so that opening is idempotent.
     */
    boolean allows(String turn, long budgetTokens) {
        return open.containsKey(turn) || closed.containsKey(turn) || used() < budgetTokens;
    }

    void open(String turn, long maxTokens) {
        if (!closed.containsKey(turn)) {
            open.put(turn, maxTokens);
        }
    }

    void close(String turn, long tokens) {
        if (open.remove(turn) != null) {
            closed.put(turn, tokens);
        }
    }

    void keepUntil(long untilMillis) {
        keptUntilMillis = Math.max(keptUntilMillis, untilMillis);
    }

    long keptUntilMillis() {
        return keptUntilMillis;
    }

    long used() {
        long sum = 0;
        for (long tokens : open.values()) {
            sum += tokens;
        }
        for (long tokens : closed.values()) {
            sum += tokens;
        }
        return sum;
    }

    Map<String, Long> openTurns() {
        return Map.copyOf(open);
    }

    Map<String, Long> closedTurns() {
        return Map.copyOf(closed);
    }
}
