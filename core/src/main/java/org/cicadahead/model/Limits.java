package org.cicadahead.model;

/** Range checks for the values of resources. */
final class Limits {

    private Limits() {}

    static long orDefault(long value, long defaultValue, String valueName) {
        if (value < 0) {
            throw new IllegalArgumentException("The " + valueName + " must not be negative: " + value);
        }
        return value == 0 ? defaultValue : value;
    }

    static double positive(double value, String valueName) {
        if (!(value > 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException("The " + valueName + " must be positive and finite: " + value);
        }
        return value;
    }
}
