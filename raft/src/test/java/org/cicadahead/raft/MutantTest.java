package org.cicadahead.raft;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against consensus that violates a safety property under targeted faults, and against a simulation that does
 * not detect such violations: each {@link Mutant} breaks one rule and must be detected.
 */
class MutantTest {
    private static final Logger LOG = Logger.getLogger(MutantTest.class);
    private static final int SEEDS = 200;
    /**
     * The minimum average number of commits per run. A leader exists for most of a run, so far fewer commits would mean
     * that the faults leave no time for a leader.
     */
    private static final long MIN_COMMITS = 100;

    @Test
    void unchangedConsensusIsSafe() {
        AtomicLong commits = new AtomicLong();
        LongStream.range(0, SEEDS).parallel().forEach(seed -> {
            try {
                commits.addAndGet(run(seed, Mutant.NONE));
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        });
        assertThat(commits.get()).isAtLeast(MIN_COMMITS * SEEDS);
    }

    @ParameterizedTest
    @EnumSource(value = Mutant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void mutantIsDetected(Mutant mutant) {
        List<String> found = new ArrayList<>();
        for (long seed = 0; seed < SEEDS && found.isEmpty(); seed++) {
            String violation = violation(seed, mutant);
            if (violation != null) {
                found.add("seed " + seed + ": " + violation);
            }
        }
        assertWithMessage("no seed detects the mutant " + mutant).that(found).isNotEmpty();
        LOG.infof("%s is detected by %s", mutant, found.get(0));
    }

    /** Returns the property that a run violates, or null if it violates none. */
    private static String violation(long seed, Mutant mutant) {
        try {
            run(seed, mutant);
            return null;
        } catch (IllegalStateException | AssertionError e) {
            return e.getMessage();
        }
    }

    private static long run(long seed, Mutant mutant) {
        boolean learners = seed % 3 == 0;
        Simulation simulation = new Simulation(seed, seed % 3 == 1 ? 5 : 3, learners ? 2 : 0);
        simulation.mutant = mutant;
        simulation.promotesLearners = false;
        new Scenarios(simulation).run();
        assertWithMessage("the history is linearizable")
                .that(simulation.history.isLinearizable())
                .isTrue();
        return simulation.invariants.committed();
    }
}
