package org.cicadahead.operator;

import java.util.List;

/**
 * The state of the fleet as the leader knows it. Immutable.
 *
 * @param leader host and port of the leader for daemons
 * @param term its term
 * @param configuration the revisions in force
 * @param daemons the daemons heard of in the last minute
 * @param endpoints the live endpoints
 * @param service how organisations are served since the leader began
 * @param programs programs known, ended ones included
 * @param claims claims known
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
     * The revisions in force.
     *
     * @param revision the revision of the configuration
     * @param lowestApplied the lowest revision that a daemon applies
     * @param highestApplied the highest one
     * @param behind how many daemons apply an older one
     */
    public record ConfigurationSpread(long revision, long lowestApplied, long highestApplied, int behind) {}

    /**
     * A daemon.
     *
     * @param id its id
     * @param roles what it does
     * @param zone its availability zone
     * @param address host and port
     * @param configurationRevision the revision that it applies
     * @param silentMillis since when it was not heard, in milliseconds
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
     * @param state whether it takes new work
     * @param draining whether it was asked to drain
     * @param pools its pools
     * @param queued requests that wait
     * @param running requests that run
     * @param capacity how many requests it runs at once
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
     * How organisations are served, as far as control knows; entries count what they refuse.
     *
     * @param worstServed the worst-served organisation, or null if none asked
     * @param worstServedShare the part of its asks within the rate that got a grant, from 0 to 1
     * @param wrongfulRefusals asks within the rate that got no grant, over all organisations
     * @param asks asks of entries, over all organisations
     * @param granted requests granted, over all organisations
     */
    public record ServiceStatus(
            String worstServed, double worstServedShare, long wrongfulRefusals, long asks, long granted) {}
}
