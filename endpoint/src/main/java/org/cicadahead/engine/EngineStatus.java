package org.cicadahead.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Set;

/**
 * What an engine reports of itself; the numbers lag and may be wrong. Immutable.
 *
 * @param instance the instance id, new at each start
 * @param models the models that are loaded
 * @param running requests in the batch
 * @param waiting requests that wait in the engine
 * @param cachedTokens tokens in the prefix cache
 * @param cacheCapacityTokens the tokens that it holds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineStatus(
        String instance, Set<String> models, int running, int waiting, long cachedTokens, long cacheCapacityTokens) {

    /** Copies the set; an absent one is empty. */
    public EngineStatus {
        instance = instance == null ? "" : instance;
        models = models == null ? Set.of() : Set.copyOf(models);
    }
}
