package org.cicadahead.fleet;

import java.util.Objects;

/**
 * A daemon and the address at which other daemons reach it. Immutable.
 *
 * @param name its name
 * @param role its role
 * @param zone its availability zone
 * @param address host and port of its peer server; empty if it runs none
 */
public record DaemonPlace(String name, FleetRole role, String zone, String address) {

    /**
     * Validates the values.
     *
     * @throws NullPointerException if a value is null
     */
    public DaemonPlace {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(role, "The role must not be null");
        Objects.requireNonNull(zone, "The zone must not be null");
        Objects.requireNonNull(address, "The address must not be null");
    }
}
