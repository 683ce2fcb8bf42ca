package org.cicadahead.testbed.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** What one run of a simulation showed. */
final class Results {
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * A finished root program.
     *
     * @param organisation the number of its organisation
     * @param startMicros when it started
     * @param endMicros when it ended
     * @param work its engine time under a perfect cache, in microseconds
     */
    record Finished(int organisation, long startMicros, long endMicros, double work) {
        double millis() {
            return (endMicros - startMicros) / MICROS_PER_MILLI;
        }
    }

    final List<Finished> finished = new ArrayList<>();
    final double[] servedTokens = new double[Deployment.SHARES.length];
    final long[] admitted = new long[Deployment.SHARES.length];
    long refusedOverRate;
    long refusedWhileHeld;
    long requests;
    long promptTokens;
    long recomputedTokens;
    long wastedElsewhere;
    long wastedForGone;
    long wrongful;
    long overAdmitted;
    long abandoned;
    double levelAtRefusal;
    int unfinished;

    long wasted() {
        return wastedElsewhere + wastedForGone;
    }

    /** Returns a percentile of the latency of programs that started within a time, in milliseconds. */
    double percentile(double percent, int organisation, long fromMicros, long toMicros) {
        double[] sorted = finished.stream()
                .filter(f -> organisation < 0 || f.organisation() == organisation)
                .filter(f -> f.startMicros() >= fromMicros && f.startMicros() < toMicros)
                .mapToDouble(Finished::millis)
                .sorted()
                .toArray();
        if (sorted.length == 0) {
            return Double.NaN;
        }
        return sorted[(int) Math.min(sorted.length - 1, Math.ceil(percent / 100 * sorted.length) - 1)];
    }

    double percentile(double percent) {
        return percentile(percent, -1, 0, Long.MAX_VALUE);
    }

    double max() {
        return Arrays.stream(finished.stream().mapToDouble(Finished::millis).toArray())
                .max()
                .orElse(Double.NaN);
    }
}
