package org.cicadahead.protocol;

import java.util.Set;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.Role;
import org.cicadahead.model.ZoneName;

/**
 * Who a daemon is. Immutable.
 *
 * @param id the id, the same over restarts
 * @param roles what it does
 * @param zone its availability zone
 * @param generation its start time in milliseconds since the epoch; a later start has a higher one
 * @param address host and port at which it serves other daemons
 */
public record DaemonInfo(DaemonId id, Set<Role> roles, ZoneName zone, long generation, String address) {

    /** Copies the collections; an absent one is empty. */
    public DaemonInfo {
        roles = roles == null ? Set.of() : Set.copyOf(roles);
    }
}
