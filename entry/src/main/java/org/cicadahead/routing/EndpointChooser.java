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
 * <p>The cost of an endpoint is the expected wait plus the time to recompute the part of the prompt that it does not
 * have cached. Endpoints with a cached prefix compete with the better of two random others. Not safe for use by several
 * threads. The first use is {@link #create(ZoneName, RandomGenerator)}.
 */
public final class EndpointChooser {
    /** Assumed time of one run in milliseconds, by which a queue of one round is charged. */
    private static final double ROUND_MILLIS = 2_000;
    /** A batch runs slower the fuller it is; charged in milliseconds for a full one. */
    private static final double FULL_BATCH_MILLIS = 200;
    /** Charged for each prompt token that must be computed again; above the pure time, as it also wastes capacity. */
    private static final double UNCACHED_TOKEN_MILLIS = 0.5;
    /** Charged for an endpoint in another availability zone, so that the local one wins when they are about equal. */
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
     * @param random draws the candidates
     * @return the chooser
     * @throws NullPointerException if the random generator is null
     */
    public static EndpointChooser create(ZoneName zone, RandomGenerator random) {
        return new EndpointChooser(zone, random);
    }

    /**
     * Applies changes of the endpoint table; those older than what is known are ignored.
     *
     * @param delta the changes
     * @param nowMillis monotonic time in milliseconds
     */
    public void apply(EndpointsDelta delta, long nowMillis) {
        if (delta.epoch() < epoch || delta.epoch() == epoch && delta.version() < version) {
            return;
        }
        boolean first = endpoints.isEmpty();
        Set<EndpointId> gone = new HashSet<>(delta.removed());
        if (delta.full()) {
            gone.addAll(endpoints.keySet());
            delta.announced().forEach(announcement -> gone.remove(announcement.endpoint()));
        }
        gone.forEach(this::remove);
        for (Announcement announcement : delta.announced()) {
            announce(announcement, nowMillis, !first);
        }
        epoch = delta.epoch();
        version = delta.version();
    }

    /**
     * Returns the epoch of the known endpoint table.
     *
     * @return the epoch, or 0
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the version of the known endpoint table.
     *
     * @return the version, or 0
     */
    public long version() {
        return version;
    }

    /**
     * Chooses an endpoint and counts the request as sent to it.
     *
     * @param request what the choice depends on
     * @param nowMillis monotonic time in milliseconds
     * @return the announcement of the endpoint, or empty if none is available
     */
    public Optional<Announcement> choose(ChoiceRequest request, long nowMillis) {
        List<EndpointStats> members = members(request);
        List<EndpointStats> candidates = withoutEjected(members, nowMillis);
        candidates.removeIf(
                stats -> request.forbidden().contains(stats.announcement().endpoint()));
        List<EndpointStats> fresh = new ArrayList<>(candidates);
        fresh.removeIf(stats -> request.avoided().contains(stats.announcement().endpoint()));
        List<EndpointStats> usable = fresh.isEmpty() ? candidates : fresh;
        EndpointStats home = home(usable, request);
        List<EndpointStats> finalists = finalists(usable, home, request);
        return finalists.stream()
                .min(Comparator.comparingDouble(stats -> cost(stats, home, request, nowMillis)))
                .map(stats -> {
                    stats.sent();
                    return stats.announcement();
                });
    }

    /**
     * Takes the load that an endpoint reported.
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
     * Records that a run completed, after which the endpoint has the prompt and the answer cached.
     *
     * @param endpoint the endpoint
     * @param program the program, or null
     * @param root the root program, or null
     * @param tokens the tokens of the prompt and the answer
     */
    public void completed(EndpointId endpoint, ProgramKey program, ProgramKey root, long tokens) {
        EndpointStats stats = endpoints.get(endpoint);
        if (stats != null) {
            stats.returned();
            stats.succeeded();
            prefixes.record(program, root, endpoint, tokens);
        }
    }

    /**
     * Records that a run did not complete.
     *
     * @param endpoint the endpoint
     * @param fault true if the endpoint is at fault, which counts towards its ejection
     * @param nowMillis monotonic time in milliseconds
     */
    public void failed(EndpointId endpoint, boolean fault, long nowMillis) {
        EndpointStats stats = endpoints.get(endpoint);
        if (stats != null) {
            stats.returned();
            if (fault) {
                stats.failed(nowMillis);
            }
        }
    }

    /**
     * Takes note that an endpoint refused work because it is leaving, so that it gets none until it is announced anew.
     *
     * @param endpoint the endpoint
     */
    public void leaving(EndpointId endpoint) {
        EndpointStats stats = endpoints.get(endpoint);
        if (stats != null) {
            stats.leave();
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
     * Returns the endpoints whose load has not been reported for a time, the oldest first.
     *
     * @param maxAgeMillis the age in milliseconds from which a report is stale
     * @param limit how many endpoints to return at most
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
        prefixes.forget(endpoint);
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

    /** At most half of the members are left out, so that ejection never empties a pool. */
    private static List<EndpointStats> withoutEjected(List<EndpointStats> members, long nowMillis) {
        List<EndpointStats> ejected = new ArrayList<>(members);
        ejected.removeIf(stats -> !stats.isEjected(nowMillis));
        ejected.sort(Comparator.comparingLong(EndpointStats::ejectedUntilMillis).reversed());
        List<EndpointStats> left = new ArrayList<>(members);
        left.removeAll(ejected.subList(0, Math.min(ejected.size(), members.size() / 2)));
        return left;
    }

    /**
     * Returns the endpoint to which every entry sends a program of which it knows nothing, chosen by rendezvous hashing
     * so that entries agree without talking to each other. Null if the request belongs to no program, or if this entry
     * knows where its cache or that of its siblings is.
     */
    private EndpointStats home(List<EndpointStats> candidates, ChoiceRequest request) {
        if (request.program() == null || candidates.stream().anyMatch(stats -> cachedTokens(stats, request) > 0)) {
            return null;
        }
        String root = (request.root() == null ? request.program() : request.root()).toString();
        return candidates.stream()
                .max(Comparator.comparingLong(
                        stats -> Rendezvous.score(root, id(stats).value())))
                .orElse(null);
    }

    /** Returns those with a cached prefix, the home and two random others. */
    private List<EndpointStats> finalists(List<EndpointStats> candidates, EndpointStats home, ChoiceRequest request) {
        List<EndpointStats> finalists = new ArrayList<>();
        List<EndpointStats> others = new ArrayList<>();
        for (EndpointStats stats : candidates) {
            (stats == home || cachedTokens(stats, request) > 0 ? finalists : others).add(stats);
        }
        for (int i = 0; i < 2 && !others.isEmpty(); i++) {
            finalists.add(others.remove(random.nextInt(others.size())));
        }
        return finalists;
    }

    private long cachedTokens(EndpointStats stats, ChoiceRequest request) {
        return prefixes.cachedTokens(request.program(), request.root(), id(stats));
    }

    /** The home is taken to have the whole prompt, as other entries have sent the earlier turns there. */
    private double cost(EndpointStats stats, EndpointStats home, ChoiceRequest request, long nowMillis) {
        double occupancy = stats.occupancy(nowMillis);
        double wait = Math.max(0, occupancy - 1) * ROUND_MILLIS + occupancy * FULL_BATCH_MILLIS;
        long cached = stats == home ? request.promptTokens() : cachedTokens(stats, request);
        double recompute = Math.max(0, request.promptTokens() - cached) * UNCACHED_TOKEN_MILLIS;
        double distance = zone != null && zone.equals(stats.announcement().zone()) ? 0 : REMOTE_ZONE_MILLIS;
        return wait + recompute + distance;
    }

    private static EndpointId id(EndpointStats stats) {
        return stats.announcement().endpoint();
    }
}
