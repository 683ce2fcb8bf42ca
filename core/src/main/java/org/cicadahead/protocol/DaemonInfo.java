package org.cicadahead.protocol;

import java.util.Set;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.Role;
import org.cicadahead.model.ZoneName;

/**
 * The identity and address of a daemon. Immutable.
 *
 * @param id the id, which stays the same over restarts
 * @param roles the roles of the daemon
 * @param zone its availability zone
 * @param generation its start time in milliseconds since the epoch; a later start has a higher one
 * @param address host and port at which it serves other daemons
 */
public record DaemonInfo(DaemonId id, Set<Role> roles, ZoneName zone, long generation, String address) {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public DaemonInfo {
        roles = roles == null ? Set.of() : Set.copyOf(roles);
    }
}
