package org.cicadahead.endpoint;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.PoolName;
import org.cicadahead.protocol.DaemonInfo;

/**
 * What an endpoint node needs to start. Immutable.
 *
 * @param daemon who the daemon is
 * @param endpoint the endpoint
 * @param kind engine or service
 * @param pools the pools that the endpoint belongs to
 * @param models the models that an engine serves
 * @param target the base address of the engine or service
 * @param control the addresses of the control replicas
 * @param listen where to listen for other daemons
 * @param capacity how many requests run at once
 * @param maxRunningTokens the estimated tokens of running requests that keep the token interval in bounds
 * @param engineChecksFences whether the engine refuses orders with old fencing tokens by itself
 * @param workers the number of worker threads
 */
public record EndpointConfig(
        DaemonInfo daemon,
        EndpointId endpoint,
        EndpointKind kind,
        Set<PoolName> pools,
        Set<String> models,
        URI target,
        List<InetSocketAddress> control,
        InetSocketAddress listen,
        int capacity,
        long maxRunningTokens,
        boolean engineChecksFences,
        int workers) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a value is null
     * @throws IllegalArgumentException if a number is not positive
     */
    public EndpointConfig {
        Objects.requireNonNull(daemon, "The daemon must not be null");
        Objects.requireNonNull(endpoint, "The endpoint must not be null");
        Objects.requireNonNull(kind, "The kind must not be null");
        Objects.requireNonNull(target, "The target must not be null");
        Objects.requireNonNull(listen, "The listen address must not be null");
        pools = Set.copyOf(pools);
        models = Set.copyOf(models);
        control = List.copyOf(control);
        if (capacity < 1 || maxRunningTokens < 1 || workers < 1) {
            throw new IllegalArgumentException("The capacity, the token limit and the workers must be at least 1");
        }
    }
}
