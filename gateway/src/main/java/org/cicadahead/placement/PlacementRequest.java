package org.cicadahead.placement;

import java.util.Set;

/**
 * The input of a choice among endpoints. Immutable.
 *
 * @param service the name of the service
 * @param session the key of requests that share a prompt cache; empty if there is no cache
 * @param zone the availability zone of the entry
 * @param excluded the ids of endpoints that must not be chosen
 */
public record PlacementRequest(String service, String session, String zone, Set<String> excluded) {

    /** Copies the set. */
    public PlacementRequest {
        excluded = Set.copyOf(excluded);
    }
}
