package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * A group of endpoints that serve routes. Endpoints announce the pools that they belong to. Immutable.
 *
 * @param name the name
 * @param target the kind of its endpoints
 * @param policy how the run queues of its endpoints order requests
 */
public record Pool(PoolName name, EndpointKind target, QueuePolicy policy) implements Resource {

    /**
     * Validates the values and sets defaults for those that are absent.
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
