package org.cicadahead.state;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RouteName;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.EndedDelta;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.RenewSteps;
import org.cicadahead.protocol.StepOutcome;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.protocol.StepsRenewed;
import org.junit.jupiter.api.Test;

/**
 * Guards against steps that run out of order or twice, exceeded budgets, and lost or mixed histories, when callers
 * resend a step, take it over or finish it late.
 */
class ProgramTableTest {
    private static final ProgramKey P = Tables.P;
    private static final long BUDGET = 1_000;
    private static final ProgramKey CHILD = Tables.program("child");

    private final Tables tables = new Tables();

    @Test
    void stepsRunInOrder() {
        assertThat(begin(2, "n").outcome()).isEqualTo(StepOutcome.OUT_OF_ORDER);
        assertThat(begin(2, "n").expectedStep()).isEqualTo(1);
        assertThat(begin(0, "n").outcome()).isEqualTo(StepOutcome.OUT_OF_ORDER);
        run(1, 10);
        assertThat(begin(3, "n").outcome()).isEqualTo(StepOutcome.OUT_OF_ORDER);
        assertThat(begin(3, "n").expectedStep()).isEqualTo(2);
        assertThat(begin(0, "n").outcome()).isEqualTo(StepOutcome.OUT_OF_ORDER);
        run(2, 10);
        assertThat(tables.histories.get(P)).hasSize(2);
    }

    @Test
    void resentBeginGetsTheSameFenceAndOthersMustWait() {
        StepReply first = begin(1, "n1");
        assertThat(begin(1, "n1")).isEqualTo(first);
        assertThat(begin(1, "n2").outcome()).isEqualTo(StepOutcome.RUNNING);
        assertThat(view().reservedTokens()).isEqualTo(100);
    }

    @Test
    void finishedStepIsReplayedAndAChangedOneRefused() {
        StepReply begun = begin(1, "n1");
        assertThat(tables.submit(Tables.finish(P, 1, begun.fence(), 10, false))).isTrue();
        assertThat(tables.submit(Tables.finish(P, 1, begun.fence(), 10, false))).isTrue();
        assertThat(view().spentTokens()).isEqualTo(10);
        assertThat(tables.histories.get(P)).hasSize(1);
        assertThat(begin(1, "n1").outcome()).isEqualTo(StepOutcome.REPLAYED);
        run(2, 1);
        StepReply changed = (StepReply) tables.apply(new BeginStep(
                P,
                null,
                1,
                Tables.digest(9),
                RouteName.of("chat"),
                1,
                1_000,
                50,
                60_000,
                0,
                DaemonId.of("entry"),
                "n9"));
        assertThat(changed.outcome()).isEqualTo(StepOutcome.CHANGED);
        assertThat(tables.submit(Tables.finish(P, 1, begun.fence(), 10, false))).isTrue();
    }

    @Test
    void takeoverFencesTheOldAttemptAndKeepsItsReservationCharged() {
        long old = begin(1, "n1").fence();
        tables.now += ProgramTable.STEP_LEASE_MILLIS;
        long next = begin(1, "n2").fence();
        assertThat(next).isGreaterThan(old);
        assertThat(view().spentTokens()).isEqualTo(100);
        assertThat(tables.submit(Tables.finish(P, 1, old, 30, false))).isFalse();
        assertThat(view().spentTokens()).isEqualTo(30);
        assertThat(tables.submit(Tables.abandon(P, 1, old, 99))).isFalse();
        assertThat(view().spentTokens()).isEqualTo(30);
        assertThat(tables.histories).doesNotContainKey(P);
        assertThat(tables.submit(Tables.finish(P, 1, next, 5, false))).isTrue();
        assertThat(view().spentTokens()).isEqualTo(35);
        assertThat(view().reservedTokens()).isEqualTo(0);
    }

    @Test
    void attemptWithExpiredLeaseFinishesUnlessTakenOver() {
        long fence = begin(1, "n1").fence();
        tables.now += 10 * ProgramTable.STEP_LEASE_MILLIS;
        assertThat(tables.submit(Tables.finish(P, 1, fence, 5, false))).isTrue();
    }

    @Test
    void renewalExtendsTheLeaseAndReportsLostSteps() {
        StepRef step = new StepRef(P, 1, begin(1, "n1").fence());
        StepRef foreign = new StepRef(P, 1, step.fence() + 1);
        StepRef unknown = new StepRef(CHILD, 1, step.fence());
        for (int i = 0; i < 4; i++) {
            tables.now += ProgramTable.STEP_LEASE_MILLIS - 1;
            StepsRenewed renewed =
                    (StepsRenewed) tables.apply(new RenewSteps(DaemonId.of("entry"), List.of(step, foreign, unknown)));
            assertThat(renewed.lost()).containsExactly(foreign, unknown);
            assertThat(begin(1, "n2").outcome()).isEqualTo(StepOutcome.RUNNING);
        }
    }

    @Test
    void abandonedStepMayRunAgainAndIsChargedForWhatItUsed() {
        long fence = begin(1, "n1").fence();
        assertThat(tables.submit(Tables.abandon(P, 1, fence, 40))).isTrue();
        assertThat(view().spentTokens()).isEqualTo(40);
        assertThat(tables.submit(Tables.finish(P, 1, fence, 1, false))).isFalse();
        assertThat(begin(1, "n2").outcome()).isEqualTo(StepOutcome.GRANTED);
    }

    @Test
    void subAgentsShareTheBudgetOfTheRoot() {
        run(1, 600);
        assertThat(tables.begin(CHILD, P, 1, 300, "c").outcome()).isEqualTo(StepOutcome.GRANTED);
        assertThat(tables.begin(P, null, 2, 101, "n").outcome()).isEqualTo(StepOutcome.BUDGET_EXHAUSTED);
        assertThat(tables.begin(P, null, 2, 100, "n").outcome()).isEqualTo(StepOutcome.GRANTED);
        assertThat(tables.begin(Tables.program("x"), CHILD, 1, 1, "x").outcome())
                .isEqualTo(StepOutcome.BUDGET_EXHAUSTED);
        assertThat(tables.begin(Tables.program("x"), Tables.program("none"), 1, 1, "x")
                        .outcome())
                .isEqualTo(StepOutcome.PARENT_UNKNOWN);
        assertThat(tables.state.programs().view(CHILD).get().root()).isEqualTo(P);
    }

    @Test
    void endOfAProgramEndsAndReportsItsSubAgents() {
        run(1, 1);
        tables.begin(CHILD, P, 1, 10, "c");
        assertThat(tables.submit(new EndProgram(P, "caller"))).isTrue();
        assertThat(tables.submit(new EndProgram(P, "caller"))).isTrue();
        EndedDelta ended = tables.state.programs().ended().since(0).get();
        assertThat(ended.programs()).containsExactly(CHILD, P).inOrder();
        assertThat(ended.version()).isEqualTo(2);
        assertThat(tables.state.programs().ended().since(2)).isEmpty();
        assertThat(tables.state.programs().ended().since(99).get().incomplete()).isTrue();
        assertThat(begin(2, "n").outcome()).isEqualTo(StepOutcome.ENDED);
        assertThat(begin(1, "n").outcome()).isEqualTo(StepOutcome.REPLAYED);
        assertThat(tables.begin(Tables.program("x"), P, 1, 1, "x").outcome()).isEqualTo(StepOutcome.ENDED);
    }

    @Test
    void historyAndProgramAreRemovedAfterTheirRetention() {
        long fence = begin(1, "n1").fence();
        tables.submit(Tables.finish(P, 1, fence, 1, true));
        tables.now += ProgramTable.HISTORY_RETENTION_MILLIS - 1;
        assertThat(begin(1, "n2").outcome()).isEqualTo(StepOutcome.REPLAYED);
        assertThat(tables.histories).containsKey(P);
        tables.now++;
        assertThat(begin(1, "n2").outcome()).isEqualTo(StepOutcome.ENDED);
        assertThat(tables.histories).doesNotContainKey(P);
        tables.now += ProgramTable.RETENTION_MILLIS - ProgramTable.HISTORY_RETENTION_MILLIS - 1;
        assertThat(begin(1, "n2").outcome()).isEqualTo(StepOutcome.ENDED);
        tables.now++;
        StepReply again = begin(1, "n2");
        assertThat(again.outcome()).isEqualTo(StepOutcome.GRANTED);
        assertThat(again.fence()).isGreaterThan(fence);
    }

    @Test
    void onlyProgramsWithoutActivityAreIdle() {
        run(1, 1);
        tables.now += 59_000;
        tables.begin(CHILD, P, 1, 10, "c");
        tables.now += 59_999;
        assertThat(tables.state.programs().idlePrograms(tables.now, 9)).isEmpty();
        assertThat(tables.submit(new EndProgram(P, ProgramTable.IDLE_CAUSE))).isFalse();
        tables.now++;
        assertThat(tables.state.programs().idlePrograms(tables.now, 9))
                .containsExactly(CHILD, P)
                .inOrder();
        assertThat(tables.submit(new EndProgram(P, ProgramTable.IDLE_CAUSE))).isTrue();
        assertThat(tables.state.programs().isEndedOrUnknown(CHILD)).isTrue();
    }

    /**
     * Checks step order, budgets and histories while callers resend, take over, abandon and finish steps late, in
     * random order. Each granted attempt uses up to its reservation at an engine, whether or not it reports; the sum
     * over all attempts must not exceed the budget.
     */
    @Property(tries = 500)
    void orderBudgetAndHistoriesHoldInAnyInterleaving(@ForAll long seed) {
        Random random = new Random(seed);
        Tables table = new Tables();
        List<ProgramKey> programs = List.of(P, CHILD, Tables.program("other"));
        List<GrantedAttempt> attempts = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            table.now += random.nextInt(2_500);
            if (attempts.isEmpty() || random.nextInt(2) == 0) {
                ProgramKey program = programs.get(random.nextInt(3));
                int step = 1 + random.nextInt(6);
                long reserve = random.nextInt(200);
                ProgramKey parent = program.equals(CHILD) ? P : null;
                StepReply reply = table.begin(program, parent, step, reserve, "n" + random.nextInt(40));
                boolean isNew = attempts.stream().noneMatch(a -> a.fence() == reply.fence());
                if (reply.outcome() == StepOutcome.GRANTED && isNew) {
                    int finished =
                            table.histories.getOrDefault(program, List.of()).size();
                    assertWithMessage("seed %s", seed).that(step).isEqualTo(1 + finished);
                    attempts.add(new GrantedAttempt(program, step, reply.fence(), random.nextInt((int) reserve + 1)));
                }
            } else {
                GrantedAttempt attempt = attempts.get(random.nextInt(attempts.size()));
                boolean end = random.nextInt(40) == 0;
                table.apply(
                        random.nextInt(3) > 0
                                ? Tables.finish(attempt.program(), attempt.step(), attempt.fence(), attempt.used(), end)
                                : Tables.abandon(attempt.program(), attempt.step(), attempt.fence(), attempt.used()));
            }
            check(table, attempts, seed);
        }
    }

    private static void check(Tables table, List<GrantedAttempt> attempts, long seed) {
        for (ProgramKey root : List.of(P, Tables.program("other"))) {
            long used = attempts.stream()
                    .filter(a -> a.program().equals(root)
                            || root.equals(P) && a.program().equals(CHILD))
                    .mapToLong(a -> a.used())
                    .sum();
            assertWithMessage("seed %s", seed).that(used).isAtMost(BUDGET);
            table.state.programs().view(root).ifPresent(v -> {
                assertWithMessage("seed %s", seed).that(v.reservedTokens()).isAtLeast(0);
                assertWithMessage("seed %s", seed)
                        .that(v.spentTokens() + v.reservedTokens())
                        .isAtMost(BUDGET);
                assertWithMessage("seed %s", seed)
                        .that(v.spentTokens() + v.reservedTokens())
                        .isAtLeast(used);
            });
        }
        table.histories.forEach((program, steps) -> {
            for (int i = 0; i < steps.size(); i++) {
                String text = new String(steps.get(i).answer(), StandardCharsets.UTF_8);
                assertWithMessage("seed %s", seed).that(text).isEqualTo(program + " " + (i + 1));
            }
        });
    }

    private StepReply begin(int step, String nonce) {
        return tables.begin(P, null, step, 100, nonce);
    }

    private void run(int step, long used) {
        StepReply begun = tables.begin(P, null, step, used, "run" + step);
        assertThat(tables.submit(Tables.finish(P, step, begun.fence(), used, false)))
                .isTrue();
    }

    private ProgramView view() {
        return tables.state.programs().view(P).get();
    }

    /** A granted attempt with the tokens that it uses at an engine. */
    private record GrantedAttempt(ProgramKey program, int step, long fence, long used) {}
}
