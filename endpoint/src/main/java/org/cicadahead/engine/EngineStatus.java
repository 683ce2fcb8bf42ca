package org.cicadahead.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Set;

/**
 * The status that an engine reports. Its numbers may be outdated or wrong. Immutable.
 *
 * @param instance the instance id, which the engine changes at each start
 * @param models the loaded models
 * @param running the number of requests in the current batch
 * @param waiting the number of requests that wait in the engine
 * @param cachedTokens the number of tokens in the prefix cache
 * @param cacheCapacityTokens the capacity of the prefix cache in tokens
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineStatus(
        String instance, Set<String> models, int running, int waiting, long cachedTokens, long cacheCapacityTokens) {

    /** Copies the set of models. A missing instance id or set of models becomes empty. */
    public EngineStatus {
        instance = instance == null ? "" : instance;
        models = models == null ? Set.of() : Set.copyOf(models);
    }
}
