package org.cicadahead.protocol;

import java.util.Set;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ZoneName;

/**
 * The description of an endpoint that its daemon sends to the leader of control. Immutable.
 *
 * @param endpoint the endpoint
 * @param generation start time of the daemon in milliseconds since the epoch
 * @param kind engine or service
 * @param pools the pools that it belongs to
 * @param models the models that it serves; empty for services
 * @param zone its availability zone
 * @param address host and port of the endpoint daemon
 * @param state whether it accepts new requests
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

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public Announcement {
        pools = pools == null ? Set.of() : Set.copyOf(pools);
        models = models == null ? Set.of() : Set.copyOf(models);
    }
}
