package org.cicadahead.hub;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.cicadahead.quota.QuotaTolerance;

/**
 * Settings of a hub. Immutable.
 *
 * @param name the name of the VM
 * @param zone its availability zone
 * @param address host and port of its peer server
 * @param seeds addresses of the peer servers of hubs
 * @param dataFolder where its files live
 * @param bootstrap whether the seeds found the group
 * @param faultsTolerated how many hubs may be lost at once
 * @param heartbeatIntervalMillis how often an endpoint sends a heartbeat, in milliseconds
 * @param quotaTolerance how far above their rates organisations may be served
 */
public record HubConfig(
        String name,
        String zone,
        String address,
        List<String> seeds,
        Path dataFolder,
        boolean bootstrap,
        int faultsTolerated,
        long heartbeatIntervalMillis,
        QuotaTolerance quotaTolerance) {

    /**
     * Checks the settings.
     *
     * @throws NullPointerException if a text or the folder is null
     */
    public HubConfig {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(zone, "The zone must not be null");
        Objects.requireNonNull(address, "The address must not be null");
        Objects.requireNonNull(dataFolder, "The data folder must not be null");
        Objects.requireNonNull(quotaTolerance, "The tolerance must not be null");
        seeds = List.copyOf(seeds);
    }
}
