package org.cicadahead.routing;

import java.util.List;
import org.cicadahead.model.EndpointId;

/** Round-robin choice of endpoints, the baseline of a comparison. */
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
