package org.cicadahead.site;

import java.util.Objects;

/**
 * A service to which a route sends a share of its requests. Immutable.
 *
 * @param service the name of the service
 * @param weight its share, relative to the weights of the route's other services
 */
public record WeightedService(String service, double weight) {

    /**
     * Validates the values.
     *
     * @throws NullPointerException if the service is null
     * @throws IllegalArgumentException if the weight is negative or not a number
     */
    public WeightedService {
        Objects.requireNonNull(service, "The service must not be null");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("The weight must not be negative: " + weight);
        }
    }
}
