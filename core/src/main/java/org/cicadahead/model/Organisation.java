package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;

/**
 * A customer of the operator, with its rate limit. Immutable.
 *
 * @param name the id
 * @param ratePerSecond the requests per second that it may make over all entries together
 * @param burst the size of its token bucket: how many requests it may make at once, at least 1
 * @param weight its weight in fair queueing; 0 means 1
 */
public record Organisation(
        OrganisationId name,
        @JsonProperty("rate_per_second") double ratePerSecond,
        long burst,
        double weight) implements Resource {

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public Organisation {
        Objects.requireNonNull(name, "The name must not be null");
        Limits.positive(ratePerSecond, "rate_per_second");
        if (burst < 1) {
            throw new IllegalArgumentException("The burst must be at least 1: " + burst);
        }
        weight = weight == 0 ? 1 : Limits.positive(weight, "weight");
    }

    @Override
    @JsonIgnore
    public ResourceKind kind() {
        return ResourceKind.ORGANISATION;
    }

    @Override
    @JsonIgnore
    public String resourceName() {
        return name.value();
    }
}
