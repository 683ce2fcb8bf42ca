package org.cicadahead.site;

import java.util.List;
import java.util.Objects;
import org.cicadahead.model.KeyDigest;

/**
 * An organisation with its keys and limits. Immutable.
 *
 * @param name its name
 * @param keys the digests of its keys
 * @param ratePerSecond the requests per second that it is entitled to, or 0 if not limited
 * @param burst the requests that it may send at once on top
 * @param priority its rank, which goes before that of the route, or null
 */
public record SiteOrganisation(
        String name, List<KeyDigest> keys, double ratePerSecond, double burst, Integer priority) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if the name or the keys are null
     */
    public SiteOrganisation {
        Objects.requireNonNull(name, "The name must not be null");
        keys = List.copyOf(keys);
    }

    /**
     * Returns whether its requests are limited.
     *
     * @return true if there is a rate
     */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
