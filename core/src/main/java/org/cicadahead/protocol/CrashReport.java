package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RequestDigest;

/**
 * Reports that an engine crashed. Answered by {@link Done}. Idempotent.
 *
 * @param endpoint the endpoint
 * @param instance the engine instance that crashed
 * @param running the digests of the requests that it was running
 */
public record CrashReport(EndpointId endpoint, String instance, List<RequestDigest> running) implements Command {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public CrashReport {
        running = running == null ? List.of() : List.copyOf(running);
    }
}
