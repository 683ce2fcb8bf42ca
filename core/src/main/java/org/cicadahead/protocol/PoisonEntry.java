package org.cicadahead.protocol;

import java.util.Set;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RequestDigest;

/**
 * The record of a request that was running when an engine crashed. Immutable.
 *
 * @param digest the digest of the request
 * @param refused true if the request is refused; false if its next run must be the only run on an endpoint
 * @param crashed endpoints that crashed while they ran it
 * @param untilMillis the time at which the entry expires, in milliseconds since the epoch by the clock of the leader
 */
public record PoisonEntry(RequestDigest digest, boolean refused, Set<EndpointId> crashed, long untilMillis) {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public PoisonEntry {
        crashed = crashed == null ? Set.of() : Set.copyOf(crashed);
    }
}
