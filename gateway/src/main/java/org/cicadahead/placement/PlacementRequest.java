package org.cicadahead.placement;

import java.util.Set;
import java.util.function.Predicate;

/**
 * The input of a choice among endpoints. Immutable.
 *
 * @param service the name of the service
 * @param key the key of requests that should run at the same endpoint, because it has their prompt or object in its
 *     cache; empty if there is none
 * @param zone the availability zone of the entry
 * @param excluded the ids of endpoints that must not be chosen
 * @param softwareVersion accepts the software versions that the endpoint may have
 * @param healthyOnly whether an ejected or silent endpoint must not be chosen even if there is no other
 */
public record PlacementRequest(
        String service,
        String key,
        String zone,
        Set<String> excluded,
        Predicate<String> softwareVersion,
        boolean healthyOnly) {

    /** Copies the set. */
    public PlacementRequest {
        excluded = Set.copyOf(excluded);
    }
}
