package org.cicadahead.hub;

import java.util.Map;
import org.cicadahead.site.SiteConfiguration;

/**
 * The state of the hubs in a snapshot. Immutable.
 *
 * @param site the configuration in force, or null
 * @param source the document as the operator sent it
 * @param storeFounder the address of the store that founds the group of stores, or an empty text
 * @param retired the addresses of the stores that are to be emptied, by the names of their VMs
 */
record SiteImage(SiteConfiguration site, byte[] source, String storeFounder, Map<String, String> retired) {
    SiteImage {
        source = source == null ? new byte[0] : source;
        storeFounder = storeFounder == null ? "" : storeFounder;
        retired = retired == null ? Map.of() : Map.copyOf(retired);
    }
}
