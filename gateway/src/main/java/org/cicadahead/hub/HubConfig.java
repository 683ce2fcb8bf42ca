package org.cicadahead.hub;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.cicadahead.quota.QuotaTolerance;

/**
 * The settings of a hub. Immutable.
 *
 * @param name the name of the VM
 * @param zone its availability zone
 * @param address the host and port of its peer server
 * @param seeds the addresses of the hubs' peer servers
 * @param dataFolder the folder of its files
 * @param bootstrap whether the seeds bootstrap the group
 * @param faultsTolerated the number of hubs that may fail at the same time
 * @param heartbeatIntervalMillis the interval between heartbeats of an endpoint, in milliseconds
 * @param quotaTolerance how far the organisations' rates may be exceeded
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
     * @throws NullPointerException if a value is null
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
