package org.cicadahead.gateway;

import java.util.List;
import java.util.Objects;

/**
 * The settings of an entry. Immutable.
 *
 * @param name the name of the VM
 * @param zone its availability zone
 * @param hubs the addresses of the hubs' peer servers
 * @param heartbeatIntervalMillis the interval between heartbeats of an endpoint, in milliseconds
 */
public record GatewayConfig(String name, String zone, List<String> hubs, long heartbeatIntervalMillis) {

    /**
     * Checks the settings.
     *
     * @throws NullPointerException if a value is null
     */
    public GatewayConfig {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(zone, "The zone must not be null");
        hubs = List.copyOf(hubs);
    }
}
