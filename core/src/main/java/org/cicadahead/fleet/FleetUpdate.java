package org.cicadahead.fleet;

import java.util.Collection;
import java.util.List;
import org.cicadahead.protocol.Message;
import org.cicadahead.site.SiteConfiguration;

/**
 * A change of the state of the fleet as seen by one hub. A component that has not changed is null or empty.
 *
 * @param site the configuration, or null
 * @param endpoints endpoints that are new or changed
 * @param alive the ids of endpoints whose heartbeats to this hub since the last update reported no change
 * @param daemons all daemons that watch this hub, and the hub itself; null if unchanged
 * @param storeFounder the address of the store that bootstraps the group of stores; empty if it is not decided yet
 * @param decommissioned the addresses of stores that are being decommissioned; null if unchanged
 */
public record FleetUpdate(
        SiteConfiguration site,
        List<EndpointRecord> endpoints,
        List<String> alive,
        List<DaemonPlace> daemons,
        String storeFounder,
        List<String> decommissioned)
        implements Message {

    /** Makes immutable copies of the endpoint lists; null becomes an empty list. */
    public FleetUpdate {
        endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
        alive = alive == null ? List.of() : List.copyOf(alive);
    }

    /**
     * Returns an update that reports one endpoint.
     *
     * @param endpoint the endpoint, new or changed
     * @return the update
     */
    public static FleetUpdate of(EndpointRecord endpoint) {
        return new FleetUpdate(null, List.of(endpoint), null, null, "", null);
    }

    /**
     * Returns an update that reports endpoints whose heartbeats reported no change.
     *
     * @param ids their ids
     * @return the update
     */
    public static FleetUpdate ofAlive(Collection<String> ids) {
        return new FleetUpdate(null, null, List.copyOf(ids), null, "", null);
    }

    /**
     * Returns an update that reports the daemons.
     *
     * @param daemons all daemons that watch the hub, and the hub itself
     * @return the update
     */
    public static FleetUpdate ofDaemons(List<DaemonPlace> daemons) {
        return new FleetUpdate(null, null, null, daemons, "", null);
    }

    /**
     * Returns this update without the configuration, which is by far its largest part.
     *
     * @return the update
     */
    public FleetUpdate withoutSite() {
        return site == null ? this : new FleetUpdate(null, endpoints, alive, daemons, storeFounder, decommissioned);
    }
}
