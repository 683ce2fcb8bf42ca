package org.cicadahead.turns;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.fleet.CloseTurn;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.TurnOpened.Verdict;
import org.junit.jupiter.api.Test;

/** Tests kept turns, their chains and expiry, and the budgets of programs. */
class TurnTableTest {
    private static final long RETENTION = 60_000;

    private final TurnTable table = TurnTable.create();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private Verdict open(String turn, String organisation, String previous, long budget, long max, long now) {
        return table.open(
                new OpenTurn(
                        turn,
                        organisation,
                        "p",
                        budget,
                        max,
                        previous,
                        bytes("in-" + turn + ";"),
                        RETENTION,
                        false,
                        null,
                        ""),
                now);
    }

    private void close(String turn, long tokens, String output, long now) {
        table.close(new CloseTurn(turn, "o", "p", tokens, output == null ? null : bytes(output)), now);
    }

    /**
     * No turn of a chain may be missing, duplicated or out of order in its history, also if two turns continue the same
     * one.
     */
    @Test
    void historyIsInputsAndOutputsOldestFirst() {
        open("a", "o", "", -1, 0, 0);
        close("a", 0, "out-a\n", 1);
        open("b", "o", "a", -1, 0, 2);
        close("b", 0, "out-b\n", 3);
        open("c", "o", "a", -1, 0, 4);
        close("c", 0, "out-c\n", 5);
        assertThat(new String(table.history("b"), StandardCharsets.UTF_8)).isEqualTo("in-a;out-a\nin-b;out-b\n");
        assertThat(new String(table.history("c"), StandardCharsets.UTF_8)).isEqualTo("in-a;out-a\nin-c;out-c\n");
    }

    /** A turn must not continue one that belongs to another organisation, is unknown or is still open. */
    @Test
    void refusesAPreviousTurnThatIsNotTheOrganisations() {
        open("a", "o", "", -1, 0, 0);
        assertThat(open("b", "o", "a", -1, 0, 1)).isEqualTo(Verdict.PREVIOUS_UNKNOWN);
        close("a", 0, "x", 2);
        assertThat(open("b", "other", "a", -1, 0, 3)).isEqualTo(Verdict.PREVIOUS_UNKNOWN);
        assertThat(open("b", "o", "nothing", -1, 0, 4)).isEqualTo(Verdict.PREVIOUS_UNKNOWN);
        assertThat(open("b", "o", "a", -1, 0, 5)).isEqualTo(Verdict.OPEN);
    }

    /**
     * The first turns of a chain must not expire while later ones are kept, because the history of a later turn
     * includes them.
     */
    @Test
    void aTurnExtendsTheRetentionOfItsChain() {
        open("a", "o", "", -1, 0, 0);
        close("a", 0, "x", 0);
        open("b", "o", "a", -1, 0, 50_000);
        close("b", 0, "y", 50_000);
        assertThat(open("c", "o", "b", -1, 0, 50_000 + RETENTION - 1)).isEqualTo(Verdict.OPEN);
        assertThat(table.history("b")).isNotNull();
        close("c", 0, null, 50_000 + RETENTION);
        long late = 50_000 + 2 * RETENTION + 2 * TurnTable.CLOCK_SKEW_MARGIN_MILLIS + TurnTable.SWEEP_INTERVAL_MILLIS;
        assertThat(open("d", "o", "b", -1, 0, late)).isEqualTo(Verdict.PREVIOUS_UNKNOWN);
        assertThat(table.turns()).isEqualTo(0);
    }

    /** A turn that was closed without output must not be continued, because its history would be incomplete. */
    @Test
    void anIncompleteTurnCannotBeContinued() {
        open("a", "o", "", -1, 0, 0);
        close("a", 70, null, 1);
        assertThat(open("b", "o", "a", -1, 0, 2)).isEqualTo(Verdict.PREVIOUS_UNKNOWN);
    }

    /** Parallel turns must not exceed the budget together, which they would if open turns did not count. */
    @Test
    void openTurnsCountWithTheirMaximum() {
        assertThat(open("a", "o", "", 1_000, 560, 0)).isEqualTo(Verdict.OPEN);
        assertThat(open("b", "o", "", 1_000, 560, 0)).isEqualTo(Verdict.OPEN);
        assertThat(open("c", "o", "", 1_000, 560, 0)).isEqualTo(Verdict.BUDGET_SPENT);
        close("a", 100, null, 1);
        close("b", 100, null, 1);
        assertThat(open("c", "o", "", 1_000, 560, 2)).isEqualTo(Verdict.OPEN);
    }

    /**
     * A request that is sent again after its response was lost must not reserve tokens twice or change the tokens of a
     * closed turn.
     */
    @Test
    void openAndCloseAreIdempotent() {
        open("a", "o", "", 1_000, 560, 0);
        assertThat(open("a", "o", "", 1_000, 560, 1)).isEqualTo(Verdict.OPEN);
        close("a", 500, null, 2);
        close("a", 0, null, 3);
        open("a", "o", "", 1_000, 560, 4);
        assertThat(open("b", "o", "", 1_000, 560, 5)).isEqualTo(Verdict.OPEN);
        assertThat(open("c", "o", "", 1_000, 560, 6)).isEqualTo(Verdict.BUDGET_SPENT);
    }

    /**
     * The tokens sent to callers must not exceed the budget by more than the maximum of one turn, even if some turns
     * are never closed.
     */
    @Property(tries = 200)
    void neverPassesTheBudgetByMoreThanOneTurn(@ForAll long seed) {
        Random random = new Random(seed);
        TurnTable each = TurnTable.create();
        long sentTokens = 0;
        for (int turn = 0; turn < 100; turn++) {
            OpenTurn open = new OpenTurn("t" + turn, "o", "p", 3_000, 560, "", null, RETENTION, false, null, "");
            if (each.open(open, turn) == Verdict.OPEN) {
                long tokens = random.nextInt(561);
                sentTokens += tokens;
                if (random.nextInt(4) > 0) {
                    each.close(new CloseTurn("t" + turn, "o", "p", tokens, null), turn);
                }
            }
        }
        assertThat(sentTokens).isAtMost(3_000L + 560);
    }

    /**
     * A store restored from a snapshot must have the same chains, and count the same open and closed turns against a
     * budget.
     */
    @Test
    void aSnapshotRestoresAllState() {
        open("a", "o", "", 1_000, 560, 0);
        close("a", 480, "x", 1);
        open("b", "o", "a", 1_000, 560, 2);
        TurnTable restored = TurnTable.create();
        table.image().turns().forEach(restored::restore);
        table.image().budgets().forEach(restored::restore);
        assertThat(restored.history("a")).isEqualTo(table.history("a"));
        OpenTurn third = new OpenTurn("c", "o", "p", 1_000, 560, "", null, RETENTION, false, null, "");
        assertThat(restored.open(third, 3)).isEqualTo(Verdict.BUDGET_SPENT);
    }

    private void begin(String attempt, String organisation, String version, long now) {
        table.open(new OpenTurn(attempt, organisation, "", -1, 0, "", null, RETENTION, false, version, ""), now);
    }

    /** A stream must not be resumed at a version that it did not begin at, nor by another organisation. */
    @Test
    void knowsTheVersionsAtWhichAStreamMayHaveBegun() {
        begin("a", "o", "v1", 0);
        begin("a", "o", "v1", 1);
        assertThat(table.streamVersions("o", "a", 2)).containsExactly("v1");
        assertThat(table.streamVersions("other", "a", 2)).isEmpty();
        assertThat(table.streamVersions("o", "b", 2)).isEmpty();
        assertThat(table.streamVersions("o", "", 2)).isEmpty();
        begin("a", "o", "v2", 3);
        assertThat(table.streamVersions("o", "a", 4)).containsExactly("v1", "v2");
    }

    /** Versions must expire, or the table would grow with each stream; a store without the row must agree. */
    @Test
    void forgetsTheVersionOfAStreamAfterItsRetention() {
        begin("a", "o", "v1", 0);
        assertThat(table.streamVersions("o", "a", StreamTable.RETENTION_MILLIS)).containsExactly("v1");
        assertThat(table.streamVersions("o", "a", StreamTable.RETENTION_MILLIS + 1))
                .isEmpty();
        begin("b", "o", "v1", StreamTable.RETENTION_MILLIS + TurnTable.SWEEP_INTERVAL_MILLIS);
        assertThat(table.image().streams()).hasSize(1);
    }
}
