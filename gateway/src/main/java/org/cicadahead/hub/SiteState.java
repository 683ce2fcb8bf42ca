package org.cicadahead.hub;

import java.util.Map;
import java.util.TreeMap;
import org.cicadahead.fleet.SiteStored;
import org.cicadahead.fleet.SubmitSite;
import org.cicadahead.site.SiteConfiguration;

/** What the hubs agree on. Immutable. */
final class SiteState {
    static final SiteState EMPTY = new SiteState(null, new byte[0], "", Map.of());

    private final SiteConfiguration site;
    private final byte[] source;
    private final String storeFounder;
    private final Map<String, String> retired;

    private SiteState(SiteConfiguration site, byte[] source, String storeFounder, Map<String, String> retired) {
        this.site = site;
        this.source = source;
        this.storeFounder = storeFounder;
        this.retired = retired;
    }

    static SiteState of(SiteImage image) {
        return new SiteState(image.site(), image.source(), image.storeFounder(), image.retired());
    }

    SiteImage image() {
        return new SiteImage(site, source, storeFounder, retired);
    }

    /** Returns the configuration in force, or null. */
    SiteConfiguration site() {
        return site;
    }

    long version() {
        return site == null ? 0 : site.version();
    }

    byte[] source() {
        return source;
    }

    /** Returns the address of the store that founds the group of stores, or an empty text. */
    String storeFounder() {
        return storeFounder;
    }

    /** Returns the addresses of the stores that are to be emptied, by the names of their VMs. */
    Map<String, String> retired() {
        return retired;
    }

    /** Returns the state with a configuration, unless one with the same or a higher version is in force. */
    SiteState with(SubmitSite submitted) {
        boolean newer = site == null || submitted.site().version() > site.version();
        return newer ? new SiteState(submitted.site(), submitted.source(), storeFounder, retired) : this;
    }

    SiteStored stored(SiteState before) {
        return new SiteStored(version(), this != before);
    }

    SiteState foundedBy(String address) {
        return storeFounder.isEmpty() ? new SiteState(site, source, address, retired) : this;
    }

    SiteState retiring(String name, String address) {
        Map<String, String> next = new TreeMap<>(retired);
        next.put(name, address);
        return new SiteState(site, source, storeFounder, Map.copyOf(next));
    }
}
