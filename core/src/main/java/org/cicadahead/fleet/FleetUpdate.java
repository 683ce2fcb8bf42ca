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
 * @param crashes new observations of requests that may have crashed endpoints
 */
public record FleetUpdate(
        SiteConfiguration site,
        List<EndpointRecord> endpoints,
        List<String> alive,
        List<DaemonPlace> daemons,
        String storeFounder,
        List<String> decommissioned,
        List<CrashEvidence> crashes)
        implements Message {

    /**
     * Makes immutable copies of the lists of endpoints and crashes; null becomes an empty list, because hubs of earlier
     * releases send no crashes.
     */
    public FleetUpdate {
        endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
        alive = alive == null ? List.of() : List.copyOf(alive);
        crashes = crashes == null ? List.of() : List.copyOf(crashes);
    }

    /**
     * Returns an update that reports one endpoint.
     *
     * @param endpoint the endpoint, new or changed
     * @return the update
     */
    public static FleetUpdate of(EndpointRecord endpoint) {
        return new FleetUpdate(null, List.of(endpoint), null, null, "", null, null);
    }

    /**
     * Returns an update that reports endpoints whose heartbeats reported no change.
     *
     * @param ids their ids
     * @return the update
     */
    public static FleetUpdate ofAlive(Collection<String> ids) {
        return new FleetUpdate(null, null, List.copyOf(ids), null, "", null, null);
    }

    /**
     * Returns an update that reports the daemons.
     *
     * @param daemons all daemons that watch the hub, and the hub itself
     * @return the update
     */
    public static FleetUpdate ofDaemons(List<DaemonPlace> daemons) {
        return new FleetUpdate(null, null, null, daemons, "", null, null);
    }

    /**
     * Returns an update that reports requests that may have crashed endpoints.
     *
     * @param crashes the observations
     * @return the update
     */
    public static FleetUpdate ofCrashes(List<CrashEvidence> crashes) {
        return new FleetUpdate(null, null, null, null, "", null, crashes);
    }

    /**
     * Returns this update without the configuration, which is by far its largest part.
     *
     * @return the update
     */
    public FleetUpdate withoutSite() {
        return site == null
                ? this
                : new FleetUpdate(null, endpoints, alive, daemons, storeFounder, decommissioned, crashes);
    }
}
