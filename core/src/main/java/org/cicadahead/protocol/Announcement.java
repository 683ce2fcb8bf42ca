package org.cicadahead.protocol;

import java.util.Set;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ZoneName;

/**
 * How an endpoint daemon announces its endpoint. Immutable.
 *
 * @param endpoint the endpoint
 * @param generation start time of the daemon in milliseconds since the epoch
 * @param kind engine or service
 * @param pools the pools that it belongs to
 * @param models the models that it serves; empty for services
 * @param zone its availability zone
 * @param address host and port of the endpoint daemon
 * @param state whether it takes new work
 * @param capacity how many requests it runs at once
 */
public record Announcement(
        EndpointId endpoint,
        long generation,
        EndpointKind kind,
        Set<PoolName> pools,
        Set<String> models,
        ZoneName zone,
        String address,
        EndpointState state,
        int capacity) {

    /** Copies the collections; an absent one is empty. */
    public Announcement {
        pools = pools == null ? Set.of() : Set.copyOf(pools);
        models = models == null ? Set.of() : Set.copyOf(models);
    }
}
