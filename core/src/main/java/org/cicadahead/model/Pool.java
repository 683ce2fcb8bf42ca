package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * A group of endpoints that serve routes. Endpoints announce the pools that they belong to. Immutable.
 *
 * @param name the name
 * @param target the kind of its endpoints
 * @param policy how the pool weighs latency against fairness
 */
public record Pool(PoolName name, EndpointKind target, QueuePolicy policy) implements Resource {

    /**
     * Checks the values and sets defaults for those that are absent.
     *
     * @throws NullPointerException if the name is null
     */
    public Pool {
        Objects.requireNonNull(name, "The name must not be null");
        target = target == null ? EndpointKind.ENGINE : target;
        policy = policy == null ? QueuePolicy.FAIR : policy;
    }

    @Override
    @JsonIgnore
    public ResourceKind kind() {
        return ResourceKind.POOL;
    }

    @Override
    @JsonIgnore
    public String resourceName() {
        return name.value();
    }
}
