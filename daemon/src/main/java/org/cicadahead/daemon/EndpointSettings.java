package org.cicadahead.daemon;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadahead.endpoint.EndpointConfig;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.PoolName;
import org.cicadahead.protocol.DaemonInfo;

/**
 * Settings of the section {@code [endpoint]}. Immutable.
 *
 * @param id the endpoint id
 * @param kind the kind of the endpoint, engine or service
 * @param pools the pools that the endpoint belongs to
 * @param models the models that an engine serves; empty by default
 * @param target the base URL of the engine or service
 * @param listen the host and port on which the endpoint listens for other daemons
 * @param address the host and port at which other daemons reach this one; {@code listen} by default
 * @param capacity the maximum number of concurrent requests, 1 to 4,096
 * @param maxRunningTokens the maximum total of estimated tokens of running requests; 200,000 by default
 * @param engineChecksFences whether the engine itself rejects requests with outdated fencing tokens; false by default
 */
public record EndpointSettings(
        String id,
        EndpointKind kind,
        List<String> pools,
        Set<String> models,
        String target,
        String listen,
        String address,
        Integer capacity,
        Long maxRunningTokens,
        Boolean engineChecksFences) {
    private static final int MAX_CAPACITY = 4_096;
    private static final long DEFAULT_MAX_RUNNING_TOKENS = 200_000;

    /** Validates the values and sets defaults for absent ones. */
    public EndpointSettings {
        Fields.parsed(id, "id", "an endpoint id of letters, digits and ._:-", EndpointId::of);
        Fields.required(kind, "kind", "engine or service");
        pools = List.copyOf(Fields.required(pools, "pools", "a list of pool names"));
        if (pools.isEmpty()) {
            throw new FieldException("pools", "expected at least one pool name");
        }
        pools.forEach(pool -> Fields.parsed(pool, "pools", "a pool name", PoolName::of));
        models = Set.copyOf(Fields.orDefault(models, Set.of()));
        Fields.httpUri(target, "target");
        Fields.address(listen, "listen");
        address = Fields.orDefault(address, listen);
        Fields.address(address, "address");
        Fields.inRange(Fields.required(capacity, "capacity", "a number"), 1, MAX_CAPACITY, "capacity");
        maxRunningTokens = Fields.orDefault(maxRunningTokens, DEFAULT_MAX_RUNNING_TOKENS);
        Fields.inRange(maxRunningTokens, 1, Long.MAX_VALUE, "max_running_tokens");
        engineChecksFences = Fields.orDefault(engineChecksFences, false);
    }

    /**
     * Returns the configuration of the endpoint node.
     *
     * @param daemon the identity, roles, zone, generation and address of the daemon
     * @param settings the section {@code [daemon]}
     * @return the configuration
     */
    EndpointConfig toConfig(DaemonInfo daemon, DaemonSettings settings) {
        return new EndpointConfig(
                daemon,
                EndpointId.of(id),
                kind,
                pools.stream().map(PoolName::of).collect(Collectors.toUnmodifiableSet()),
                models,
                Fields.httpUri(target, "target"),
                Fields.addresses(settings.control(), "control"),
                Fields.address(listen, "listen"),
                capacity,
                maxRunningTokens,
                engineChecksFences,
                settings.workers());
    }
}
