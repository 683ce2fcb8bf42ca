package org.cicadahead.model;

/** Range checks of resource values. */
final class Limits {

    private Limits() {}

    static long orDefault(long value, long defaultValue, String what) {
        if (value < 0) {
            throw new IllegalArgumentException("The " + what + " must not be negative: " + value);
        }
        return value == 0 ? defaultValue : value;
    }

    static double positive(double value, String what) {
        if (!(value > 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException("The " + what + " must be positive and finite: " + value);
        }
        return value;
    }
}
