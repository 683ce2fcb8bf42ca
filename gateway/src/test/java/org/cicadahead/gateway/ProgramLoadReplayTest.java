package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.quota.QuotaTolerance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against programs that fail at one of their last calls though their organisation is within its rate in the
 * mean, and against urgent programs that are served less often than others. Load pattern: 29 entries, a small
 * organisation, short programs and long urgent ones whose requests come in clumps.
 */
class ProgramLoadReplayTest {
    private static final int ENTRIES = 29;
    private static final int SEEDS = 20;
    private static final long ARRIVALS_MILLIS = 30_000;
    private static final long END_MILLIS = 40_000;
    private static final double SHORT_FRACTION = 0.83;
    private static final int SHORT_TURNS = 3;
    private static final double SHORT_WORTH = 3;
    private static final int LONG_TURNS = 11;
    private static final double LONG_WORTH = 10;
    /** The mean number of requests for each turn of a program: the turn itself and two calls. */
    private static final int REQUESTS_PER_TURN = 3;

    private static final QuotaTolerance TOLERANCE = new QuotaTolerance(0.1, 5, 20);

    /** What the programs of each kind earn, as a fraction of what they are worth in time; the mean over the seeds. */
    private record Served(double shortPrograms, double longPrograms, double all) {}

    /** Plays a load, given as a fraction of the rate; the first turns of long programs are of the given class. */
    private static Served play(double rate, double load, QuotaTolerance tolerance, PriorityClass longFirst) {
        double meanTurns = SHORT_FRACTION * SHORT_TURNS + (1 - SHORT_FRACTION) * LONG_TURNS;
        double perSecond = rate * load / (REQUESTS_PER_TURN * meanTurns);
        double[] owed = new double[2];
        double[] earned = new double[2];
        for (int seed = 0; seed < SEEDS; seed++) {
            ProgramLoadReplay replay = new ProgramLoadReplay(ENTRIES, rate, tolerance, seed);
            replay.addPrograms(
                    PriorityClass.NEW, perSecond * SHORT_FRACTION, SHORT_TURNS, SHORT_WORTH, 0, ARRIVALS_MILLIS);
            replay.addPrograms(longFirst, perSecond * (1 - SHORT_FRACTION), LONG_TURNS, LONG_WORTH, 0, ARRIVALS_MILLIS);
            replay.play(END_MILLIS);
            owed[0] += replay.owed(PriorityClass.NEW);
            owed[1] += replay.owed(longFirst);
            earned[0] += replay.earned(PriorityClass.NEW);
            earned[1] += replay.earned(longFirst);
        }
        return new Served(earned[0] / owed[0], earned[1] / owed[1], (earned[0] + earned[1]) / (owed[0] + owed[1]));
    }

    /** The naive version admits each request by rate and burst alone. */
    @ParameterizedTest
    @CsvSource({"5, 0.63", "10, 0.63", "10, 0.95"})
    void overdraftLetsStartedProgramsFinish(double rate, double load) {
        double naive =
                play(rate, load, QuotaTolerance.NONE, PriorityClass.URGENT_NEW).all();
        assertThat(play(rate, load, TOLERANCE, PriorityClass.URGENT_NEW).all()).isAtLeast(naive + 0.05);
    }

    /** An overloaded organisation must not serve fewer programs because of what it has lent. */
    @ParameterizedTest
    @CsvSource({"10, 1.3", "30, 1.3", "150, 1.3"})
    void overdraftCostsNothingUnderOverload(double rate, double load) {
        double naive =
                play(rate, load, QuotaTolerance.NONE, PriorityClass.URGENT_NEW).all();
        assertThat(play(rate, load, TOLERANCE, PriorityClass.URGENT_NEW).all()).isAtLeast(naive - 0.02);
    }

    /**
     * Urgent programs are served at least as often as others, though each needs more of the rate, and no less is served
     * in all than with one class of first turns.
     */
    @ParameterizedTest
    @CsvSource({"10, 1.3", "30, 1.3", "150, 1.3"})
    void urgentProgramsAreServedFirst(double rate, double load) {
        Served served = play(rate, load, TOLERANCE, PriorityClass.URGENT_NEW);
        Served naive = play(rate, load, TOLERANCE, PriorityClass.NEW);
        assertThat(served.longPrograms()).isAtLeast(served.shortPrograms());
        assertThat(served.all()).isAtLeast(naive.all() - 0.02);
    }
}
