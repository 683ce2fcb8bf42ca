package org.cicadahead.placement;

import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the endpoint with the least cost: its requests of this entry, a penalty for another availability zone and one
 * for an engine that has not got the session's prompt in its cache. Not safe for use by several threads.
 *
 * <p>Answers steady load with sessions spread over several entries: rendezvous hashing lets all entries of a zone agree
 * on the engine of a session without talking to each other. The first use is {@link #over(EndpointRoster)}.
 */
public final class EndpointChoice {
    /**
     * The cost of a request that crosses availability zones, in parts of the endpoint's slots: bytes between zones are
     * dear, and what other entries send to the endpoints of their zones is not seen here.
     */
    static final double REMOTE_PART = 0.5;
    /** The cost of an engine without the session's prompt, in requests: a prompt is read in a tenth of a run. */
    static final double COLD_COST = 1.5;
    /** The cost of an endpoint that has just rejected a request for want of room, in requests. */
    static final double FULL_COST = 12.0;

    private final EndpointRoster roster;

    private EndpointChoice(EndpointRoster roster) {
        this.roster = roster;
    }

    /**
     * Returns the choice over a roster.
     *
     * @param roster the endpoints
     * @return the choice
     */
    public static EndpointChoice over(EndpointRoster roster) {
        return new EndpointChoice(roster);
    }

    /**
     * Chooses an endpoint. Silent and failing endpoints are chosen only if there is no other.
     *
     * @param request what the choice depends on
     * @param nowMillis monotonic time in milliseconds
     * @return the endpoint, or null if there is none
     */
    public KnownEndpoint choose(ChoiceRequest request, long nowMillis) {
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

    private static KnownEndpoint best(List<KnownEndpoint> candidates, ChoiceRequest request, long nowMillis) {
        KnownEndpoint home = home(candidates, request);
        KnownEndpoint best = null;
        double bestCost = 0;
        long bestRank = 0;
        for (KnownEndpoint each : candidates) {
            double cost = each.inFlight();
            cost += each.record().zone().equals(request.zone())
                    ? 0
                    : REMOTE_PART * each.record().slots();
            cost += request.session().isEmpty() || each == home ? 0 : COLD_COST;
            cost += each.isFull(nowMillis) ? FULL_COST : 0;
            long rank = rank(each, request);
            if (best == null || cost < bestCost || cost == bestCost && rank > bestRank) {
                best = each;
                bestCost = cost;
                bestRank = rank;
            }
        }
        return best;
    }

    /** Returns the engine of a session: the one of the entry's zone with the highest rank, else of any zone. */
    private static KnownEndpoint home(List<KnownEndpoint> candidates, ChoiceRequest request) {
        KnownEndpoint home = null;
        boolean homeIsLocal = false;
        for (KnownEndpoint each : candidates) {
            boolean local = each.record().zone().equals(request.zone());
            if (home == null
                    || local && !homeIsLocal
                    || local == homeIsLocal && rank(each, request) > rank(home, request)) {
                home = each;
                homeIsLocal = local;
            }
        }
        return home;
    }

    private static long rank(KnownEndpoint endpoint, ChoiceRequest request) {
        long mixed = (request.session() + '/' + endpoint.record().id()).hashCode() * 0x9E3779B97F4A7C15L;
        return mixed ^ mixed >>> 29;
    }
}
