package org.cicadahead.testbed.capacity;

import java.util.List;

/**
 * A line by least squares. Immutable.
 *
 * @param slope the growth for each unit of size
 * @param base the value at size 0
 */
record Line(double slope, double base) {

    static Line through(List<Long> sizes, List<Double> values) {
        double meanSize = sizes.stream().mapToLong(Long::longValue).average().orElse(0);
        double meanValue =
                values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double product = 0;
        double square = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double distance = sizes.get(i) - meanSize;
            product += distance * (values.get(i) - meanValue);
            square += distance * distance;
        }
        double slope = square == 0 ? 0 : product / square;
        return new Line(slope, meanValue - slope * meanSize);
    }
}
