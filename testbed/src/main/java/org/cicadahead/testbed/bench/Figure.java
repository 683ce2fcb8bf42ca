package org.cicadahead.testbed.bench;

import java.util.Arrays;
import java.util.Locale;

/**
 * A measured value with its target. Immutable.
 *
 * @param name the name
 * @param value the value
 * @param bound the target
 * @param atMost whether the value must be at most the target, else at least
 */
record Figure(String name, double value, double bound, boolean atMost) {
    static Figure atMost(String name, double value, double bound) {
        return new Figure(name, value, bound, true);
    }

    static Figure atLeast(String name, double value, double bound) {
        return new Figure(name, value, bound, false);
    }

    /** A value for which the page states no target. */
    static Figure info(String name, double value) {
        return new Figure(name, value, Double.POSITIVE_INFINITY, true);
    }

    /** Returns a figure of the worst and one of the median value over the seeds. */
    static Figure[] over(String name, double[] values, double bound, boolean atMost) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        double worst = atMost ? sorted[sorted.length - 1] : sorted[0];
        return new Figure[] {
            new Figure(name + ".worst", worst, bound, atMost),
            new Figure(name + ".median", sorted[sorted.length / 2], bound, atMost)
        };
    }

    boolean hasTarget() {
        return !Double.isInfinite(bound);
    }

    /** A value that is not a number passes no target. */
    boolean passes() {
        return atMost ? value <= bound : value >= bound;
    }

    String line() {
        if (!hasTarget()) {
            return String.format(Locale.ROOT, "%s %s none -", name, text(value));
        }
        return String.format(
                Locale.ROOT,
                "%s %s %s%s %s",
                name,
                text(value),
                atMost ? "<=" : ">=",
                text(bound),
                passes() ? "pass" : "fail");
    }

    static String text(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e12
                ? String.format(Locale.ROOT, "%.0f", value)
                : String.format(Locale.ROOT, "%.3f", value);
    }
}
