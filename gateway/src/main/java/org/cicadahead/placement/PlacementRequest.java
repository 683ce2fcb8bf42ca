package org.cicadahead.placement;

import java.util.Set;

/**
 * What a choice among endpoints depends on. Immutable.
 *
 * @param service the name of the service
 * @param session what tells apart the lines of turns that share a cache; empty if there is no cache
 * @param zone the availability zone of the entry
 * @param excluded the ids of endpoints that are not to be chosen
 */
public record PlacementRequest(String service, String session, String zone, Set<String> excluded) {

    /** Copies the set. */
    public PlacementRequest {
        excluded = Set.copyOf(excluded);
    }
}
