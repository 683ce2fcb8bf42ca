package org.cicadahead.engine;

import java.util.Objects;
import org.cicadahead.model.RunId;

/**
 * A completion request for an engine. Immutable but for the array, which must not be changed.
 *
 * @param run identifies the stream
 * @param owner the owner of the cache, or null if nothing is to be kept
 * @param body the body in JSON; its {@code run_id} and {@code cache_owner} are replaced
 * @param stream whether the answer is a stream of events
 * @param timeoutMillis after this time, in milliseconds, the run is given up
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
