package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RequestDigest;

/**
 * Reports that an engine crashed. Answered by {@link Done}. A resend is harmless.
 *
 * @param endpoint the endpoint
 * @param instance the engine instance that crashed
 * @param running the digests that it was running
 */
public record CrashReport(EndpointId endpoint, String instance, List<RequestDigest> running) implements Command {

    /** Copies the collections; an absent one is empty. */
    public CrashReport {
        running = running == null ? List.of() : List.copyOf(running);
    }
}
