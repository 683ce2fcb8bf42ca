package org.cicadahead.hub;

import java.util.Map;
import java.util.TreeMap;
import org.cicadahead.fleet.SiteStored;
import org.cicadahead.fleet.SubmitSite;
import org.cicadahead.site.SiteConfiguration;

/**
 * The replicated state of the hubs, also in the form stored in snapshots. Immutable; the document must not be modified.
 *
 * @param site the current configuration, or null
 * @param source the configuration document as the operator sent it
 * @param storeFounder the address of the store that bootstraps the group of stores, or an empty string
 * @param decommissioned the addresses of the stores that are being decommissioned, by the names of their VMs
 */
record SiteState(SiteConfiguration site, byte[] source, String storeFounder, Map<String, String> decommissioned) {
    static final SiteState EMPTY = new SiteState(null, null, null, null);

    SiteState {
        source = source == null ? new byte[0] : source;
        storeFounder = storeFounder == null ? "" : storeFounder;
        decommissioned = decommissioned == null ? Map.of() : Map.copyOf(decommissioned);
    }

    long version() {
        return site == null ? 0 : site.version();
    }

    /** Returns the state with a new configuration, or this state if the version is not higher than the current one. */
    SiteState withSite(SubmitSite submitted) {
        boolean newer = site == null || submitted.site().version() > site.version();
        return newer ? new SiteState(submitted.site(), submitted.source(), storeFounder, decommissioned) : this;
    }

    SiteStored toReply(SiteState before) {
        return new SiteStored(version(), this != before);
    }

    SiteState withStoreFounder(String address) {
        return storeFounder.isEmpty() ? new SiteState(site, source, address, decommissioned) : this;
    }

    SiteState withDecommissioned(String name, String address) {
        Map<String, String> next = new TreeMap<>(decommissioned);
        next.put(name, address);
        return new SiteState(site, source, storeFounder, next);
    }
}
