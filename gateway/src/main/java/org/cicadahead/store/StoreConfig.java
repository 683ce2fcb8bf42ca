package org.cicadahead.store;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * Settings of a store. Immutable.
 *
 * @param name the name of the VM
 * @param zone its availability zone
 * @param address host and port of its peer server
 * @param hubs addresses of the peer servers of hubs
 * @param dataFolder where its files live
 * @param bootstrap whether the store may found the group, if the hubs choose it
 * @param faultsTolerated how many stores may be lost at once
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
     * @throws NullPointerException if a text or the folder is null
     */
    public StoreConfig {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(zone, "The zone must not be null");
        Objects.requireNonNull(address, "The address must not be null");
        Objects.requireNonNull(dataFolder, "The data folder must not be null");
        hubs = List.copyOf(hubs);
    }
}
