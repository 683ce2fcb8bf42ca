package org.cicadahead.placement;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Chooses the endpoint with the lowest expected cost. The cost depends on its latency ratio, the requests in flight
 * from this entry, its availability zone and whether it is likely to have the request's prompt or object cached. Not
 * thread-safe.
 *
 * <p>The latency ratio reflects slow endpoints and the load from other entries, whose requests this entry cannot see.
 * It is measured by the entry itself and does not depend on heartbeats. Rendezvous hashing lets the entries of a zone
 * agree on the home endpoint of a session or an object. Create a policy with {@link #over(EndpointRegistry)}.
 */
public final class PlacementPolicy {
    /**
     * The relative slowdown of an endpoint with all slots in use, because each step of an engine takes longer with more
     * tokens in its batch.
     */
    static final double FULL_LOAD_SLOWDOWN = 1.1;
    /** The cost factor of another availability zone, because traffic between zones is expensive. */
    static final double CROSS_ZONE_FACTOR = 1.25;
    /**
     * The cost factor of an endpoint that is not the home of the request's key, because it must process the prompt
     * again or load the object. It bounds the load of the home: with more load than that, another one costs less.
     */
    static final double CACHE_MISS_FACTOR = 1.08;
    /** The cost factor of an endpoint that has recently rejected a request as full. */
    static final double REJECTION_FACTOR = 4.0;

    private final EndpointRegistry registry;

    private PlacementPolicy(EndpointRegistry registry) {
        this.registry = registry;
    }

    /**
     * Returns a policy over a registry.
     *
     * @param registry the endpoints
     * @return the policy
     */
    public static PlacementPolicy over(EndpointRegistry registry) {
        return new PlacementPolicy(registry);
    }

    /**
     * Chooses an endpoint. Ejected endpoints are chosen only if all others are silent or excluded, and silent ones only
     * if all are silent or excluded. An endpoint whose request limit leaves this entry nothing is not chosen.
     *
     * @param request the input of the choice
     * @param nowMillis monotonic time in milliseconds
     * @return the endpoint, or null if there is none
     */
    public KnownEndpoint choose(PlacementRequest request, long nowMillis) {
        List<KnownEndpoint> usable = usable(request, nowMillis);
        return best(filter(usable, each -> each.limitDelayMillis(nowMillis) == 0), request, nowMillis);
    }

    /**
     * Returns the time until the request limit of an endpoint allows the request, for a request for which
     * {@link #choose} finds none.
     *
     * @param request the input of the choice
     * @param nowMillis monotonic time in milliseconds
     * @return the time in milliseconds; empty if there is no endpoint
     */
    public OptionalLong limitDelayMillis(PlacementRequest request, long nowMillis) {
        return usable(request, nowMillis).stream()
                .mapToLong(each -> each.limitDelayMillis(nowMillis))
                .min();
    }

    private List<KnownEndpoint> usable(PlacementRequest request, long nowMillis) {
        List<KnownEndpoint> all = registry.acceptingRequests(request.service());
        all.removeIf(each -> request.excluded().contains(each.record().id())
                || !request.softwareVersion().test(each.record().softwareVersion()));
        List<KnownEndpoint> healthy =
                filter(all, each -> !each.isEjected(nowMillis) && !registry.isSilent(each, nowMillis));
        if (request.healthyOnly()) {
            return healthy;
        }
        if (healthy.isEmpty()) {
            healthy = filter(all, each -> !registry.isSilent(each, nowMillis));
        }
        return healthy.isEmpty() ? all : healthy;
    }

    private static List<KnownEndpoint> filter(List<KnownEndpoint> all, Predicate<KnownEndpoint> condition) {
        return all.stream().filter(condition).toList();
    }

    private static KnownEndpoint best(List<KnownEndpoint> candidates, PlacementRequest request, long nowMillis) {
        KnownEndpoint home = home(candidates, request);
        KnownEndpoint best = null;
        double bestCost = 0;
        long bestRank = 0;
        for (KnownEndpoint each : candidates) {
            double cost = cost(each, request, each == home, nowMillis);
            long rank = rank(each, request);
            if (best == null || cost < bestCost || cost == bestCost && rank > bestRank) {
                best = each;
                bestCost = cost;
                bestRank = rank;
            }
        }
        return best;
    }

    private static double cost(KnownEndpoint each, PlacementRequest request, boolean isHome, long nowMillis) {
        double cost = each.latencyRatio(nowMillis)
                * (1
                        + FULL_LOAD_SLOWDOWN
                                * each.inFlight()
                                / Math.max(1, each.record().slots()));
        cost *= each.record().zone().equals(request.zone()) ? 1 : CROSS_ZONE_FACTOR;
        cost *= request.key().isEmpty() || isHome ? 1 : CACHE_MISS_FACTOR;
        cost *= each.recentlyRejected(nowMillis) ? REJECTION_FACTOR : 1;
        return cost;
    }

    /**
     * Returns the endpoint that is preferred for a key: the one with the highest rendezvous rank in the entry's zone,
     * or in any zone if there is none in the entry's zone.
     */
    private static KnownEndpoint home(List<KnownEndpoint> candidates, PlacementRequest request) {
        KnownEndpoint home = null;
        boolean homeIsLocal = false;
        long homeRank = 0;
        for (KnownEndpoint each : candidates) {
            boolean local = each.record().zone().equals(request.zone());
            long rank = rank(each, request);
            if (home == null || local && !homeIsLocal || local == homeIsLocal && rank > homeRank) {
                home = each;
                homeIsLocal = local;
                homeRank = rank;
            }
        }
        return home;
    }

    private static long rank(KnownEndpoint endpoint, PlacementRequest request) {
        return Rendezvous.rank(request.key(), endpoint.record().id());
    }
}
