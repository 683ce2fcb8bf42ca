package org.cicadahead.placement;

import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the endpoint with the least expected time: its pace, what this entry has sent it, whether it is in another
 * availability zone and whether it has the session's prompt in its cache. Not safe for use by several threads.
 *
 * <p>Answers load of several entries that do not see each other's requests, and endpoints that turn slow: both show in
 * the pace, without a heartbeat of the endpoint. Rendezvous hashing lets the entries of a zone agree on the engine of a
 * session. The first use is {@link #over(EndpointRegistry)}.
 */
public final class PlacementPolicy {
    /** How much longer a request takes at an endpoint with all slots taken: steps grow with the tokens in the batch. */
    static final double FULL_SLOWDOWN = 1.1;
    /** The cost of another availability zone, in parts of the time: bytes between zones are dear. */
    static final double REMOTE_FACTOR = 1.25;
    /** The cost of an engine without the session's prompt, in parts of the time: the prompt is read again. */
    static final double COLD_FACTOR = 1.08;
    /** The cost of an endpoint that has just rejected a request for want of room, in parts of the time. */
    static final double FULL_FACTOR = 4.0;

    private final EndpointRegistry roster;

    private PlacementPolicy(EndpointRegistry roster) {
        this.roster = roster;
    }

    /**
     * Returns the choice over a roster.
     *
     * @param roster the endpoints
     * @return the choice
     */
    public static PlacementPolicy over(EndpointRegistry roster) {
        return new PlacementPolicy(roster);
    }

    /**
     * Chooses an endpoint. Silent and failing endpoints are chosen only if there is no other.
     *
     * @param request what the choice depends on
     * @param nowMillis monotonic time in milliseconds
     * @return the endpoint, or null if there is none
     */
    public KnownEndpoint choose(PlacementRequest request, long nowMillis) {
        List<KnownEndpoint> all = roster.ready(request.service());
        all.removeIf(each -> request.excluded().contains(each.record().id()));
        List<KnownEndpoint> sound =
                filter(all, each -> !each.isEjected(nowMillis) && !roster.isSilent(each, nowMillis));
        if (sound.isEmpty()) {
            sound = filter(all, each -> !roster.isSilent(each, nowMillis));
        }
        return best(sound.isEmpty() ? all : sound, request, nowMillis);
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

    private static double cost(KnownEndpoint each, PlacementRequest request, boolean home, long nowMillis) {
        double cost = each.pace(nowMillis)
                * (1
                        + FULL_SLOWDOWN
                                * each.inFlight()
                                / Math.max(1, each.record().slots()));
        cost *= each.record().zone().equals(request.zone()) ? 1 : REMOTE_FACTOR;
        cost *= request.session().isEmpty() || home ? 1 : COLD_FACTOR;
        cost *= each.isFull(nowMillis) ? FULL_FACTOR : 1;
        return cost;
    }

    /** Returns the engine of a session: the one of the entry's zone with the highest rank, else of any zone. */
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
        long mixed = (request.session() + '/' + endpoint.record().id()).hashCode() * 0x9E3779B97F4A7C15L;
        return mixed ^ mixed >>> 29;
    }
}
