package org.cicadahead.routing;

import java.util.List;
import org.cicadahead.model.EndpointId;

/** Chooses endpoints in turn. This is the baseline with which the number of recomputed tokens is compared. */
final class RoundRobin {
    private final List<EndpointId> endpoints;
    private int next;

    RoundRobin(List<EndpointId> endpoints) {
        this.endpoints = endpoints;
    }

    EndpointId choose() {
        return endpoints.get(next++ % endpoints.size());
    }
}
