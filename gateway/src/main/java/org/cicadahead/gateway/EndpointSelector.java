package org.cicadahead.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.placement.PlacementRequest;
import org.cicadahead.placement.PlacementPolicy;
import org.cicadahead.placement.EndpointRegistry;
import org.cicadahead.placement.KnownEndpoint;

/** The endpoints as the requests of an entry share them. Safe for use by several threads; its lock is a leaf. */
final class EndpointSelector {
    /** The weight of a request in the mean of its kind; about the last fifty count. */
    private static final double MEAN_GAIN = 0.02;

    private static final double LEAST_MILLIS = 1;

    private final String zone;
    private final Map<String, Double> means = new HashMap<>();
    private final EndpointRegistry roster;
    private final PlacementPolicy choice;

    EndpointSelector(String zone, long heartbeatIntervalMillis) {
        this.zone = zone;
        this.roster = EndpointRegistry.create(heartbeatIntervalMillis);
        this.choice = PlacementPolicy.over(roster);
    }

    synchronized void updated(FleetUpdate update, long nowMillis) {
        update.endpoints().forEach(heartbeat -> roster.heard(heartbeat, nowMillis));
        update.alive().forEach(id -> roster.alive(id, nowMillis));
        roster.forget(nowMillis);
    }

    /** Chooses an endpoint and counts the request as in flight there; returns null if there is none. */
    synchronized Placement place(String service, String session, Set<String> excluded, long nowMillis) {
        KnownEndpoint chosen = choice.choose(new PlacementRequest(service, session, zone, excluded), nowMillis);
        if (chosen == null) {
            return null;
        }
        chosen.begun();
        return new Placement(chosen, chosen.record());
    }

    /** A request that an endpoint has; ended once. */
    final class Placement {
        private final KnownEndpoint endpoint;
        private final EndpointRecord record;
        private boolean ended;

        Placement(KnownEndpoint endpoint, EndpointRecord record) {
            this.endpoint = endpoint;
            this.record = record;
        }

        EndpointRecord record() {
            return record;
        }

        /** The endpoint answered whole: a request of a kind, in some milliseconds for each event or answer. */
        void succeeded(String kind, double millis, long nowMillis) {
            synchronized (EndpointSelector.this) {
                if (end()) {
                    endpoint.succeeded();
                    double mean = means.merge(kind, millis, (before, now) -> before + MEAN_GAIN * (now - before));
                    endpoint.paced(millis / Math.max(LEAST_MILLIS, mean), nowMillis);
                }
            }
        }

        /** The caller or the time limit ended the request, which tells nothing of the endpoint. */
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
                    case REJECTED -> endpoint.full(nowMillis);
                    case WRONG_INSTANCE -> roster.heard(record.in(EndpointPhase.GONE), nowMillis);
                    case FAILED -> endpoint.succeeded();
                    default -> endpoint.failed(nowMillis);
                }
            }
        }

        private boolean end() {
            if (ended) {
                return false;
            }
            ended = true;
            endpoint.ended();
            return true;
        }
    }
}
