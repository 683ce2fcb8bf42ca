package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.cicadahead.quota.QuotaTolerance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against programs that fail at one of their last calls though their organisation is within its rate in the
 * mean. Load pattern: 29 entries, a small organisation, two kinds of programs whose requests come in clumps.
 */
class ProgramLoadReplayTest {
    private static final int ENTRIES = 29;
    private static final int SEEDS = 20;
    private static final long ARRIVALS_MILLIS = 30_000;
    private static final long END_MILLIS = 40_000;
    private static final double SHORT_FRACTION = 0.83;
    private static final int SHORT_TURNS = 3;
    private static final int LONG_TURNS = 11;
    /** The mean number of requests of a program of each kind: a turn and two calls for each of its turns. */
    private static final int REQUESTS_PER_TURN = 3;

    /** Returns the mean worth over the seeds, with the load as a fraction of the rate. */
    private static double worth(double rate, double load, QuotaTolerance tolerance) {
        double meanTurns = SHORT_FRACTION * SHORT_TURNS + (1 - SHORT_FRACTION) * LONG_TURNS;
        double programsPerSecond = rate * load / (REQUESTS_PER_TURN * meanTurns);
        double sum = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            ProgramLoadReplay replay = new ProgramLoadReplay(ENTRIES, rate, tolerance, seed);
            replay.addPrograms(programsPerSecond * SHORT_FRACTION, SHORT_TURNS, 3, 0, ARRIVALS_MILLIS);
            replay.addPrograms(programsPerSecond * (1 - SHORT_FRACTION), LONG_TURNS, 10, 0, ARRIVALS_MILLIS);
            sum += replay.play(END_MILLIS);
        }
        return sum / SEEDS;
    }

    /** The naive version admits each request by rate and burst alone. */
    @ParameterizedTest
    @CsvSource({"5, 0.63", "10, 0.63", "10, 0.95"})
    void overdraftLetsStartedProgramsFinish(double rate, double load) {
        double naive = worth(rate, load, QuotaTolerance.NONE);
        double lent = worth(rate, load, new QuotaTolerance(0.1, 5, 20));
        assertThat(lent).isAtLeast(naive + 0.05);
    }

    /** An overloaded organisation must not serve fewer programs because of what it has lent. */
    @ParameterizedTest
    @CsvSource({"10, 1.3", "30, 1.3", "150, 1.3"})
    void overdraftCostsNothingUnderOverload(double rate, double load) {
        double naive = worth(rate, load, QuotaTolerance.NONE);
        double lent = worth(rate, load, new QuotaTolerance(0.1, 5, 20));
        assertThat(lent).isAtLeast(naive - 0.02);
    }
}
