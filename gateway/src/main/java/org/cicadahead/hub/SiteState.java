package org.cicadahead.hub;

import java.util.Map;
import java.util.TreeMap;
import org.cicadahead.fleet.SiteStored;
import org.cicadahead.fleet.SubmitSite;
import org.cicadahead.site.SiteConfiguration;

/**
 * What the hubs agree on, also as a snapshot holds it. Immutable; the document must not be changed.
 *
 * @param site the configuration in force, or null
 * @param source the document as the operator sent it
 * @param storeFounder the address of the store that founds the group of stores, or an empty text
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

    /** Returns the state with a configuration, unless one with the same or a higher version is in force. */
    SiteState with(SubmitSite submitted) {
        boolean newer = site == null || submitted.site().version() > site.version();
        return newer ? new SiteState(submitted.site(), submitted.source(), storeFounder, decommissioned) : this;
    }

    SiteStored stored(SiteState before) {
        return new SiteStored(version(), this != before);
    }

    SiteState foundedBy(String address) {
        return storeFounder.isEmpty() ? new SiteState(site, source, address, decommissioned) : this;
    }

    SiteState decommissioning(String name, String address) {
        Map<String, String> next = new TreeMap<>(decommissioned);
        next.put(name, address);
        return new SiteState(site, source, storeFounder, next);
    }
}
