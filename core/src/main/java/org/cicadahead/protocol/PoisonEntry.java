package org.cicadahead.protocol;

import java.util.Set;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RequestDigest;

/**
 * What is known of a request digest that was running when an engine crashed. Immutable.
 *
 * @param digest the digest
 * @param refused true if the request is refused; false if its next run must be alone on an endpoint
 * @param crashed endpoints that crashed while they ran it
 * @param untilMillis leader time in milliseconds since the epoch at which the entry lapses
 */
public record PoisonEntry(RequestDigest digest, boolean refused, Set<EndpointId> crashed, long untilMillis) {

    /** Copies the collections; an absent one is empty. */
    public PoisonEntry {
        crashed = crashed == null ? Set.of() : Set.copyOf(crashed);
    }
}
