package org.cicadahead.routing;

import java.util.List;
import org.cicadahead.model.EndpointId;

/** The naive choice: each endpoint in turn. */
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
