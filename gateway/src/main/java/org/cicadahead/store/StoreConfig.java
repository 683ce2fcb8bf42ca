package org.cicadahead.store;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * The settings of a store. Immutable.
 *
 * @param name the name of the VM
 * @param zone its availability zone
 * @param address the host and port of its peer server
 * @param hubs the addresses of the hubs' peer servers
 * @param dataFolder the folder of its files
 * @param bootstrap whether the store may bootstrap the group of stores if the hubs choose it
 * @param faultsTolerated the number of stores that may fail at the same time
 */
public record StoreConfig(
        String name,
        String zone,
        String address,
        List<String> hubs,
        Path dataFolder,
        boolean bootstrap,
        int faultsTolerated) {

    /**
     * Checks the settings.
     *
     * @throws NullPointerException if a value is null
     */
    public StoreConfig {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(zone, "The zone must not be null");
        Objects.requireNonNull(address, "The address must not be null");
        Objects.requireNonNull(dataFolder, "The data folder must not be null");
        hubs = List.copyOf(hubs);
    }
}
