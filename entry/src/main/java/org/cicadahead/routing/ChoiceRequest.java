package org.cicadahead.routing;

import java.util.Objects;
import java.util.Set;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ProgramKey;

/**
 * The properties of a request that determine the choice of its endpoint. Immutable.
 *
 * @param pool the pool of the route
 * @param model the model that the endpoint must serve; empty for plain services
 * @param program the program, or null
 * @param root the root program, whose prompt prefix its subprograms share, or null
 * @param promptTokens estimated number of prompt tokens
 * @param avoided endpoints to avoid, such as those that failed this request; chosen only if no other is available
 * @param forbidden endpoints that must not run this request
 */
public record ChoiceRequest(
        PoolName pool,
        String model,
        ProgramKey program,
        ProgramKey root,
        long promptTokens,
        Set<EndpointId> avoided,
        Set<EndpointId> forbidden) {

    /**
     * Checks the values and copies the collections.
     *
     * @throws NullPointerException if the pool or the model is null
     */
    public ChoiceRequest {
        Objects.requireNonNull(pool, "The pool must not be null");
        Objects.requireNonNull(model, "The model must not be null");
        avoided = Set.copyOf(avoided);
        forbidden = Set.copyOf(forbidden);
    }
}
