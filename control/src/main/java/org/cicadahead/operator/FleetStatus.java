package org.cicadahead.operator;

import java.util.List;

/**
 * The state of the fleet as the leader knows it. Immutable.
 *
 * @param leader host and port at which daemons reach the leader
 * @param term the term of the leader
 * @param configuration the revisions that daemons apply
 * @param daemons the daemons that sent a heartbeat in the last minute
 * @param endpoints the live endpoints
 * @param service how organisations have been served since the leader took over
 * @param programs the number of programs, including ended ones that are still kept
 * @param claims the number of claims
 * @param members the replicas
 */
public record FleetStatus(
        String leader,
        long term,
        ConfigurationSpread configuration,
        List<DaemonStatus> daemons,
        List<EndpointStatus> endpoints,
        ServiceStatus service,
        long programs,
        long claims,
        List<MemberView> members) {

    /**
     * The current revision and the revisions that daemons apply.
     *
     * @param revision the revision of the configuration
     * @param lowestApplied the lowest revision that a live daemon applies
     * @param highestApplied the highest revision that a live daemon applies
     * @param behind the number of daemons that apply an older revision than the current one
     */
    public record ConfigurationSpread(long revision, long lowestApplied, long highestApplied, int behind) {}

    /**
     * A daemon.
     *
     * @param id its id
     * @param roles its roles
     * @param zone its availability zone
     * @param address host and port
     * @param configurationRevision the revision that it applies
     * @param silentMillis the time since its last heartbeat, in milliseconds
     */
    public record DaemonStatus(
            String id,
            List<String> roles,
            String zone,
            String address,
            long configurationRevision,
            long silentMillis) {}

    /**
     * An endpoint.
     *
     * @param id its id
     * @param kind engine or service
     * @param zone its availability zone
     * @param address host and port of its daemon
     * @param state the name of its state, which tells whether it accepts new requests
     * @param draining whether it was asked to drain
     * @param pools its pools
     * @param queued the number of queued requests
     * @param running the number of running requests
     * @param capacity the maximum number of requests that it runs at once
     */
    public record EndpointStatus(
            String id,
            String kind,
            String zone,
            String address,
            String state,
            boolean draining,
            List<String> pools,
            int queued,
            int running,
            int capacity) {}

    /**
     * How organisations are served, as seen by control. Refusals at entries are counted only by the entries.
     *
     * @param worstServed the organisation with the lowest share of served grant requests, or null if there were none
     * @param worstServedShare the share of its grant requests within the rate that got a grant, from 0 to 1
     * @param wrongfulRefusals grant requests within the rate that got no grant, over all organisations
     * @param asks grant requests of entries, over all organisations
     * @param granted the number of requests granted, over all organisations
     */
    public record ServiceStatus(
            String worstServed, double worstServedShare, long wrongfulRefusals, long asks, long granted) {}
}
