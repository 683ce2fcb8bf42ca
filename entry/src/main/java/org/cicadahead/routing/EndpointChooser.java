package org.cicadahead.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.EndpointsDelta;

/**
 * Chooses the endpoint that runs a request.
 *
 * <p>The cost of an endpoint is the expected queueing time plus the time to compute the part of the prompt that it has
 * not cached, plus a surcharge for another availability zone. Endpoints with a cached prefix are compared with two
 * other endpoints chosen at random (power of two choices). Not thread-safe. Instances come from
 * {@link #create(ZoneName, RandomGenerator)}.
 */
public final class EndpointChooser {
    /** Assumed duration of one run in milliseconds; the cost of each full batch of requests that is queued ahead. */
    private static final double ASSUMED_RUN_MILLIS = 2_000;
    /** Cost of a full batch in milliseconds, because runs get slower the fuller the batch is. */
    private static final double FULL_BATCH_MILLIS = 200;
    /**
     * Cost of each prompt token that must be recomputed, in milliseconds. It is higher than the compute time alone,
     * because recomputation also takes capacity from other requests.
     */
    private static final double UNCACHED_TOKEN_MILLIS = 0.5;
    /**
     * Cost of an endpoint in another availability zone in milliseconds, so that an endpoint in the zone of the entry is
     * preferred when the other costs are similar.
     */
    private static final double REMOTE_ZONE_MILLIS = 5;

    private final ZoneName zone;
    private final RandomGenerator random;
    private final Map<EndpointId, EndpointStats> endpoints = new HashMap<>();
    private final PrefixTable prefixes = new PrefixTable();
    private long epoch;
    private long version;

    private EndpointChooser(ZoneName zone, RandomGenerator random) {
        this.zone = zone;
        this.random = Objects.requireNonNull(random, "The random generator must not be null");
    }

    /**
     * Returns a chooser that knows no endpoints.
     *
     * @param zone the availability zone of the entry
     * @param random selects the random candidates
     * @return the chooser
     * @throws NullPointerException if the random generator is null
     */
    public static EndpointChooser create(ZoneName zone, RandomGenerator random) {
        return new EndpointChooser(zone, random);
    }

    /**
     * Applies an update of the endpoint table. An update older than the known version is ignored.
     *
     * @param delta the changes
     * @param nowMillis monotonic time in milliseconds
     */
    public void apply(EndpointsDelta delta, long nowMillis) {
        if (delta.epoch() < epoch || delta.epoch() == epoch && delta.version() < version) {
            return;
        }
        boolean initial = endpoints.isEmpty();
        Set<EndpointId> removed = new HashSet<>(delta.removed());
        if (delta.full()) {
            removed.addAll(endpoints.keySet());
            delta.announced().forEach(announcement -> removed.remove(announcement.endpoint()));
        }
        removed.forEach(this::remove);
        for (Announcement announcement : delta.announced()) {
            announce(announcement, nowMillis, !initial);
        }
        epoch = delta.epoch();
        version = delta.version();
    }

    /**
     * Returns the epoch of the known endpoint table.
     *
     * @return the epoch, or 0 before the first update
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the version of the known endpoint table.
     *
     * @return the version, or 0 before the first update
     */
    public long version() {
        return version;
    }

    /**
     * Chooses an endpoint and counts the request towards its load.
     *
     * @param request the properties of the request
     * @param nowMillis monotonic time in milliseconds
     * @return the announcement of the endpoint, or empty if none is available
     */
    public Optional<Announcement> choose(ChoiceRequest request, long nowMillis) {
        List<EndpointStats> members = members(request);
        List<EndpointStats> candidates = withoutEjected(members, nowMillis);
        candidates.removeIf(
                stats -> request.forbidden().contains(stats.announcement().endpoint()));
        List<EndpointStats> untried = new ArrayList<>(candidates);
        untried.removeIf(
                stats -> request.avoided().contains(stats.announcement().endpoint()));
        List<EndpointStats> eligible = untried.isEmpty() ? candidates : untried;
        EndpointStats defaultEndpoint = defaultEndpoint(eligible, request);
        List<EndpointStats> shortlist = shortlist(eligible, defaultEndpoint, request);
        return shortlist.stream()
                .min(Comparator.comparingDouble(stats -> cost(stats, defaultEndpoint, request, nowMillis)))
                .map(stats -> {
                    stats.requestSent();
                    return stats.announcement();
                });
    }

    /**
     * Records the load that an endpoint reported.
     *
     * @param endpoint the endpoint
     * @param load its load
     * @param nowMillis monotonic time in milliseconds
     */
    public void report(EndpointId endpoint, EndpointLoad load, long nowMillis) {
        EndpointStats stats = endpoints.get(endpoint);
        if (stats != null && load != null) {
            stats.report(load, nowMillis);
        }
    }

    /**
     * Records that a run completed, after which the endpoint has cached the prompt and the response.
     *
     * @param endpoint the endpoint
     * @param program the program, or null
     * @param root the root program, or null
     * @param tokens the tokens of the prompt and the response
     */
    public void completed(EndpointId endpoint, ProgramKey program, ProgramKey root, long tokens) {
        EndpointStats stats = endpoints.get(endpoint);
        if (stats != null) {
            stats.requestEnded();
            stats.succeeded();
            prefixes.record(program, root, endpoint, tokens);
        }
    }

    /**
     * Records that a run did not complete.
     *
     * @param endpoint the endpoint
     * @param fault true if the failure counts towards the ejection of the endpoint
     * @param nowMillis monotonic time in milliseconds
     */
    public void failed(EndpointId endpoint, boolean fault, long nowMillis) {
        EndpointStats stats = endpoints.get(endpoint);
        if (stats != null) {
            stats.requestEnded();
            if (fault) {
                stats.failed(nowMillis);
            }
        }
    }

    /**
     * Records that an endpoint refused a request because it is shutting down. It gets no requests until it is announced
     * again.
     *
     * @param endpoint the endpoint
     */
    public void markLeaving(EndpointId endpoint) {
        EndpointStats stats = endpoints.get(endpoint);
        if (stats != null) {
            stats.markLeaving();
        }
    }

    /**
     * Returns the addresses of the known endpoints.
     *
     * @return the addresses
     */
    public Set<String> addresses() {
        Set<String> addresses = new HashSet<>();
        endpoints.values().forEach(stats -> addresses.add(stats.announcement().address()));
        return addresses;
    }

    /**
     * Returns the endpoints whose last load report is stale, the oldest report first.
     *
     * @param maxAgeMillis the age in milliseconds at which a report becomes stale
     * @param limit the maximum number of endpoints to return
     * @param nowMillis monotonic time in milliseconds
     * @return their announcements
     */
    public List<Announcement> stale(long maxAgeMillis, int limit, long nowMillis) {
        return endpoints.values().stream()
                .filter(stats -> stats.reportedAtMillis() == Long.MIN_VALUE
                        || nowMillis - stats.reportedAtMillis() >= maxAgeMillis)
                .sorted(Comparator.comparingLong(EndpointStats::reportedAtMillis))
                .limit(limit)
                .map(EndpointStats::announcement)
                .toList();
    }

    private void announce(Announcement announcement, long nowMillis, boolean slowStart) {
        EndpointStats known = endpoints.get(announcement.endpoint());
        if (known != null && announcement.generation() < known.announcement().generation()) {
            return;
        }
        if (known == null || announcement.generation() > known.announcement().generation()) {
            endpoints.put(announcement.endpoint(), new EndpointStats(announcement, nowMillis, slowStart));
        } else {
            known.announce(announcement);
        }
    }

    private void remove(EndpointId endpoint) {
        endpoints.remove(endpoint);
        prefixes.removeEndpoint(endpoint);
    }

    private List<EndpointStats> members(ChoiceRequest request) {
        List<EndpointStats> members = new ArrayList<>();
        for (EndpointStats stats : endpoints.values()) {
            Announcement announcement = stats.announcement();
            boolean serves = announcement.models().isEmpty()
                    || request.model().isEmpty()
                    || announcement.models().contains(request.model());
            if (announcement.state() == EndpointState.READY
                    && !stats.isLeaving()
                    && announcement.pools().contains(request.pool())
                    && serves) {
                members.add(stats);
            }
        }
        members.sort(Comparator.comparing(stats -> stats.announcement().endpoint()));
        return members;
    }

    /** Leaves out ejected endpoints, but at most half of the members, so that ejection never empties a pool. */
    private static List<EndpointStats> withoutEjected(List<EndpointStats> members, long nowMillis) {
        List<EndpointStats> ejected = new ArrayList<>(members);
        ejected.removeIf(stats -> !stats.isEjected(nowMillis));
        ejected.sort(Comparator.comparingLong(EndpointStats::ejectedUntilMillis).reversed());
        List<EndpointStats> remaining = new ArrayList<>(members);
        remaining.removeAll(ejected.subList(0, Math.min(ejected.size(), members.size() / 2)));
        return remaining;
    }

    /**
     * Returns the default endpoint of a program whose cache location is unknown to this entry. It is chosen by
     * rendezvous hashing, so that all entries choose the same endpoint without coordination. Null if the request
     * belongs to no program, or if this entry knows an endpoint that has cached a prefix of the program or of its
     * siblings.
     */
    private EndpointStats defaultEndpoint(List<EndpointStats> candidates, ChoiceRequest request) {
        if (request.program() == null || candidates.stream().anyMatch(stats -> cachedTokens(stats, request) > 0)) {
            return null;
        }
        String root = (request.root() == null ? request.program() : request.root()).toString();
        return candidates.stream()
                .max(Comparator.comparingLong(
                        stats -> RendezvousHash.score(root, id(stats).value())))
                .orElse(null);
    }

    /** Returns the endpoints with a cached prefix, the default endpoint and two others chosen at random. */
    private List<EndpointStats> shortlist(
            List<EndpointStats> candidates, EndpointStats defaultEndpoint, ChoiceRequest request) {
        List<EndpointStats> shortlist = new ArrayList<>();
        List<EndpointStats> others = new ArrayList<>();
        for (EndpointStats stats : candidates) {
            (stats == defaultEndpoint || cachedTokens(stats, request) > 0 ? shortlist : others).add(stats);
        }
        for (int i = 0; i < 2 && !others.isEmpty(); i++) {
            shortlist.add(others.remove(random.nextInt(others.size())));
        }
        return shortlist;
    }

    private long cachedTokens(EndpointStats stats, ChoiceRequest request) {
        return prefixes.cachedTokens(request.program(), request.root(), id(stats));
    }

    /**
     * Returns the cost in milliseconds. The default endpoint is assumed to have cached the whole prompt, as other
     * entries have sent the earlier steps of the program there.
     */
    private double cost(EndpointStats stats, EndpointStats defaultEndpoint, ChoiceRequest request, long nowMillis) {
        double occupancy = stats.occupancy(nowMillis);
        double queueCost = Math.max(0, occupancy - 1) * ASSUMED_RUN_MILLIS + occupancy * FULL_BATCH_MILLIS;
        long cached = stats == defaultEndpoint ? request.promptTokens() : cachedTokens(stats, request);
        double recomputeCost = Math.max(0, request.promptTokens() - cached) * UNCACHED_TOKEN_MILLIS;
        double zoneCost = zone != null && zone.equals(stats.announcement().zone()) ? 0 : REMOTE_ZONE_MILLIS;
        return queueCost + recomputeCost + zoneCost;
    }

    private static EndpointId id(EndpointStats stats) {
        return stats.announcement().endpoint();
    }
}
