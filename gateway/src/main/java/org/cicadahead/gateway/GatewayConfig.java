package org.cicadahead.gateway;

import java.util.List;
import java.util.Objects;

/**
 * Settings of an entry. Immutable.
 *
 * @param name the name of the VM
 * @param zone its availability zone
 * @param hubs addresses of the peer servers of hubs
 * @param heartbeatIntervalMillis how often an endpoint sends a heartbeat, in milliseconds
 */
public record GatewayConfig(String name, String zone, List<String> hubs, long heartbeatIntervalMillis) {

    /**
     * Checks the settings.
     *
     * @throws NullPointerException if a text is null
     */
    public GatewayConfig {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(zone, "The zone must not be null");
        hubs = List.copyOf(hubs);
    }
}
