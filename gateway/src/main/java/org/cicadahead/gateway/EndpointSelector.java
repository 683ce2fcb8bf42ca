package org.cicadahead.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.placement.EndpointRegistry;
import org.cicadahead.placement.EntryGroup;
import org.cicadahead.placement.KnownEndpoint;
import org.cicadahead.placement.PlacementPolicy;
import org.cicadahead.placement.PlacementRequest;
import org.jboss.logging.Logger;

/** Selects endpoints for the requests of an entry. Thread-safe; takes no other lock while it holds its own. */
final class EndpointSelector {
    /** The weight of a new sample in the mean latency of a route; the mean covers about the last fifty requests. */
    private static final double MEAN_SMOOTHING = 0.02;

    private static final double MIN_MEAN_MILLIS = 1;

    private static final Logger LOG = Logger.getLogger("cicadahead.gateway");

    private final String zone;
    private final Map<String, Double> meanMillisByRoute = new HashMap<>();
    private final EndpointRegistry registry;
    private final PlacementPolicy policy;
    private final EntryGroup entries;

    EndpointSelector(String entry, String zone, long heartbeatIntervalMillis) {
        this.zone = zone;
        this.entries = EntryGroup.of(entry);
        this.registry = EndpointRegistry.create(heartbeatIntervalMillis);
        this.policy = PlacementPolicy.over(registry);
    }

    synchronized void applyUpdate(FleetUpdate update, long nowMillis) {
        update.endpoints().forEach(heartbeat -> registry.applyHeartbeat(heartbeat, nowMillis));
        update.alive().forEach(id -> registry.refresh(id, nowMillis));
        registry.evictExpired(nowMillis);
    }

    /** Replaces the names of the entries with which this one shares the request limits of endpoints. */
    synchronized void updateEntries(Set<String> names, long nowMillis, long wallMillis) {
        entries.update(names, nowMillis, wallMillis);
    }

    /**
     * Chooses an endpoint and counts the request as in flight there; returns null if none is available.
     *
     * @param versions accepts the software versions that the endpoint may have
     * @param healthyOnly whether an ejected or silent endpoint must not be chosen even if there is no other
     */
    synchronized Placement place(
            AdmittedRequest request,
            Set<String> excluded,
            Predicate<String> versions,
            boolean healthyOnly,
            long nowMillis) {
        KnownEndpoint chosen = policy.choose(placementRequest(request, excluded, versions, healthyOnly), nowMillis);
        if (chosen == null) {
            return null;
        }
        chosen.requestStarted(nowMillis);
        return new Placement(chosen, chosen.record(), nowMillis);
    }

    /**
     * Returns the software version of the endpoint that would be chosen now; empty if none is available.
     */
    synchronized Optional<String> likelyVersion(AdmittedRequest request, Set<String> excluded, long nowMillis) {
        KnownEndpoint chosen = policy.choose(placementRequest(request, excluded, version -> true, false), nowMillis);
        return Optional.ofNullable(chosen).map(each -> each.record().softwareVersion());
    }

    /** Returns whether the request could be sent to an endpoint now, which may be an ejected or silent one. */
    synchronized boolean isAvailable(
            AdmittedRequest request, Set<String> excluded, Predicate<String> versions, long nowMillis) {
        return policy.choose(placementRequest(request, excluded, versions, false), nowMillis) != null;
    }

    /** Returns the software version that all known endpoints of a service share; empty if there are several or none. */
    synchronized Optional<String> onlyVersion(String service) {
        Set<String> versions = registry.softwareVersions(service);
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }

    /**
     * Returns the time after which an endpoint whose request limit is used up accepts a request, in milliseconds; empty
     * if there is no such endpoint.
     */
    synchronized OptionalLong limitDelayMillis(
            AdmittedRequest request, Set<String> excluded, Predicate<String> versions, long nowMillis) {
        return policy.limitDelayMillis(placementRequest(request, excluded, versions, false), nowMillis);
    }

    private PlacementRequest placementRequest(
            AdmittedRequest request, Set<String> excluded, Predicate<String> versions, boolean healthyOnly) {
        return new PlacementRequest(
                request.service().name(), request.placementKey(), zone, excluded, versions, healthyOnly);
    }

    /** A request in flight at an endpoint. Only the first call that ends it has an effect. */
    final class Placement {
        private final KnownEndpoint endpoint;
        private final EndpointRecord record;
        private final long sentMillis;
        private boolean ended;

        Placement(KnownEndpoint endpoint, EndpointRecord record, long sentMillis) {
            this.endpoint = endpoint;
            this.record = record;
            this.sentMillis = sentMillis;
        }

        EndpointRecord record() {
            return record;
        }

        /** Records the request limit that the head of the response states; empty if it states none. */
        void limitStated(OptionalDouble requestsPerSecond, long nowMillis) {
            boolean changed;
            synchronized (EndpointSelector.this) {
                changed = endpoint.recordLimit(requestsPerSecond, entries, sentMillis, nowMillis);
            }
            if (changed) {
                LOG.infof(
                        "gateway: Endpoint %s %s",
                        record.id(),
                        requestsPerSecond.isPresent()
                                ? "accepts at most " + requestsPerSecond.getAsDouble() + " requests per second"
                                : "states no request limit any more");
            }
        }

        /** Records that the endpoint states that it is leaving, which may be known here before any hub reports it. */
        void leavingStated(long wallMillis) {
            boolean changed;
            synchronized (EndpointSelector.this) {
                changed = registry.recordDepartureStatement(record.id(), wallMillis);
            }
            if (changed) {
                LOG.infof("gateway: Endpoint %s states that it is leaving", record.id());
            }
        }

        /** Records a complete response; the latency is per event for a stream, else for the whole response. */
        void succeeded(String route, double latencyMillis, long nowMillis) {
            synchronized (EndpointSelector.this) {
                if (end()) {
                    endpoint.recordSuccess();
                    double mean = meanMillisByRoute.merge(
                            route, latencyMillis, (before, now) -> before + MEAN_SMOOTHING * (now - before));
                    endpoint.recordLatency(latencyMillis / Math.max(MIN_MEAN_MILLIS, mean), nowMillis);
                }
            }
        }

        /**
         * Ends a request that was ended by the caller or the time limit, which does not indicate a fault of the
         * endpoint.
         */
        void cancelled() {
            synchronized (EndpointSelector.this) {
                end();
            }
        }

        void failed(RetryReason reason, long nowMillis) {
            synchronized (EndpointSelector.this) {
                if (!end()) {
                    return;
                }
                switch (reason) {
                    case REJECTED -> endpoint.recordRejection(nowMillis);
                    case WRONG_INSTANCE -> registry.applyHeartbeat(record.withPhase(EndpointPhase.GONE), nowMillis);
                    case FAILED -> endpoint.recordSuccess();
                    case GAP -> {
                        // The response may be sound; it only does not continue what another endpoint has begun.
                    }
                    default -> endpoint.recordFailure(nowMillis);
                }
            }
        }

        private boolean end() {
            if (ended) {
                return false;
            }
            ended = true;
            endpoint.requestEnded();
            return true;
        }
    }
}
