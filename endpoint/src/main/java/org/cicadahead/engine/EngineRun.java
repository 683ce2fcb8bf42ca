package org.cicadahead.engine;

import java.util.Objects;
import org.cicadahead.model.RunId;

/**
 * A completion request for an engine. Immutable except for the array, which must not be changed.
 *
 * @param run the id of the run, which also identifies its stream
 * @param owner the owner of the cache, or null if the engine is to keep no cache for the run
 * @param body the JSON body of the caller; its {@code run_id}, {@code cache_owner} and {@code stream} are replaced
 * @param stream whether the response is a stream of events
 * @param timeoutMillis the timeout of the run, in milliseconds
 */
public record EngineRun(RunId run, String owner, byte[] body, boolean stream, long timeoutMillis) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if the run or the body is null
     */
    public EngineRun {
        Objects.requireNonNull(run, "The run must not be null");
        Objects.requireNonNull(body, "The body must not be null");
    }
}
