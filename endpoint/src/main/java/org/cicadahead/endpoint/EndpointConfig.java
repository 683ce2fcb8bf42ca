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
 * The configuration of an endpoint node. Immutable.
 *
 * @param daemon the identity of the daemon
 * @param endpoint the id of the endpoint
 * @param kind whether the endpoint is an engine or a service
 * @param pools the pools that the endpoint belongs to
 * @param models the models that an engine serves
 * @param target the base address of the engine or service
 * @param control the addresses of the control replicas
 * @param listen the address to listen on for other daemons
 * @param capacity the maximum number of concurrent requests
 * @param maxRunningTokens the maximum estimated number of tokens of the running requests, which bounds the interval
 *     between tokens
 * @param engineChecksFences whether the engine itself refuses orders with outdated fencing tokens
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
            throw new IllegalArgumentException(
                    "The capacity, the token limit and the number of workers must be at least 1");
        }
    }
}
