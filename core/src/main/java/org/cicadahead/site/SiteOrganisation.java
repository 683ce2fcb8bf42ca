package org.cicadahead.site;

import java.util.List;
import java.util.Objects;
import org.cicadahead.model.KeyDigest;

/**
 * An organisation with its keys and limits. Immutable.
 *
 * @param name its name
 * @param keys the digests of its keys
 * @param ratePerSecond the requests per second that it may send, or 0 if unlimited
 * @param burst the number of requests that it may send at once in excess of the rate
 * @param priority its priority, which overrides that of the route, or null
 */
public record SiteOrganisation(
        String name, List<KeyDigest> keys, double ratePerSecond, double burst, Integer priority) {

    /**
     * Validates the values.
     *
     * @throws NullPointerException if the name or the keys are null
     */
    public SiteOrganisation {
        Objects.requireNonNull(name, "The name must not be null");
        keys = List.copyOf(keys);
    }

    /**
     * Returns whether the rate of its requests is limited.
     *
     * @return true if there is a rate
     */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
