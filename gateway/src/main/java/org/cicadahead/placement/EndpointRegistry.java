package org.cicadahead.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;

/**
 * The endpoints that an entry knows, merged from what several hubs tell. Not safe for use by several threads.
 *
 * <p>Heartbeats may come late, twice and through several hubs. An incarnation is known by id and birth; its phase never
 * goes back, and a younger incarnation at the same address replaces an older one. The first use is
 * {@link #create(long)}.
 */
public final class EndpointRegistry {
    /** An endpoint without a heartbeat for this many intervals counts as silent. */
    static final int SILENT_INTERVALS = 4;
    /** How long an endpoint that has left is remembered, in milliseconds, so that no late heartbeat revives it. */
    static final long FORGET_MILLIS = 60_000;

    private final long silentMillis;
    private final Map<String, KnownEndpoint> endpoints = new HashMap<>();

    private EndpointRegistry(long silentMillis) {
        this.silentMillis = silentMillis;
    }

    /**
     * Returns an empty roster.
     *
     * @param heartbeatIntervalMillis how often an endpoint sends a heartbeat, in milliseconds
     * @return the roster
     * @throws IllegalArgumentException if the interval is not positive
     */
    public static EndpointRegistry create(long heartbeatIntervalMillis) {
        if (heartbeatIntervalMillis <= 0) {
            throw new IllegalArgumentException("The interval must be positive: " + heartbeatIntervalMillis);
        }
        return new EndpointRegistry(SILENT_INTERVALS * heartbeatIntervalMillis);
    }

    /**
     * Takes a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param nowMillis monotonic time in milliseconds
     * @return true if the endpoint is new or has changed
     */
    public boolean heard(EndpointRecord heartbeat, long nowMillis) {
        KnownEndpoint known = endpoints.get(heartbeat.id());
        if (known == null || heartbeat.bornMillis() > known.record().bornMillis()) {
            if (known == null && isSuperseded(heartbeat)) {
                return false;
            }
            endpoints.put(heartbeat.id(), new KnownEndpoint(heartbeat, nowMillis));
            supersedeOthers(heartbeat);
            return true;
        }
        EndpointRecord before = known.record();
        boolean older = heartbeat.bornMillis() < before.bornMillis();
        if (older && !(heartbeat.bornMillis() == 0 && heartbeat.phase() == EndpointPhase.GONE)) {
            return false;
        }
        EndpointPhase phase = before.phase().later(heartbeat.phase());
        boolean newer =
                heartbeat.sequence() > before.sequence() && !heartbeat.address().isEmpty();
        EndpointRecord merged = (newer ? heartbeat : before).in(phase);
        known.record(merged);
        if (newer) {
            known.alive(nowMillis);
        }
        return phase != before.phase() || newer && changed(before, heartbeat);
    }

    /**
     * Takes note that an endpoint has sent a heartbeat without a change.
     *
     * @param id its id
     * @param nowMillis monotonic time in milliseconds
     */
    public void alive(String id, long nowMillis) {
        KnownEndpoint known = endpoints.get(id);
        if (known != null) {
            known.alive(nowMillis);
        }
    }

    /**
     * Returns an endpoint.
     *
     * @param id its id
     * @return the endpoint, or null if it is not known
     */
    public KnownEndpoint find(String id) {
        return endpoints.get(id);
    }

    /**
     * Returns the heartbeats of all endpoints, also of those that have left.
     *
     * @return the heartbeats
     */
    public List<EndpointRecord> records() {
        return endpoints.values().stream().map(KnownEndpoint::record).toList();
    }

    /**
     * Returns the endpoints of a service that take requests.
     *
     * @param service the name of the service
     * @return the endpoints, also silent ones
     */
    public List<KnownEndpoint> ready(String service) {
        List<KnownEndpoint> ready = new ArrayList<>();
        for (KnownEndpoint each : endpoints.values()) {
            if (each.record().phase().takesRequests() && each.record().service().equals(service)) {
                ready.add(each);
            }
        }
        return ready;
    }

    /**
     * Returns whether an endpoint has not sent a heartbeat for a while.
     *
     * @param endpoint the endpoint
     * @param nowMillis monotonic time in milliseconds
     * @return true if it is silent
     */
    public boolean isSilent(KnownEndpoint endpoint, long nowMillis) {
        return nowMillis - endpoint.aliveMillis() > silentMillis;
    }

    /**
     * Forgets endpoints that have been silent for long and run nothing.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void forget(long nowMillis) {
        endpoints.values().removeIf(each -> each.inFlight() == 0 && nowMillis - each.aliveMillis() > FORGET_MILLIS);
    }

    private static boolean changed(EndpointRecord before, EndpointRecord after) {
        return !before.address().equals(after.address())
                || !before.service().equals(after.service())
                || !before.zone().equals(after.zone())
                || before.slots() != after.slots()
                || before.coldLeftMillis() > 0;
    }

    /** Returns whether a younger incarnation is known at the address, as a heartbeat of an older one may come late. */
    private boolean isSuperseded(EndpointRecord heartbeat) {
        for (KnownEndpoint each : endpoints.values()) {
            if (each.record().address().equals(heartbeat.address())
                    && each.record().bornMillis() > heartbeat.bornMillis()) {
                return true;
            }
        }
        return false;
    }

    private void supersedeOthers(EndpointRecord heartbeat) {
        Set<String> older = new HashSet<>();
        for (KnownEndpoint each : endpoints.values()) {
            EndpointRecord other = each.record();
            if (!other.id().equals(heartbeat.id())
                    && !heartbeat.address().isEmpty()
                    && other.address().equals(heartbeat.address())
                    && other.bornMillis() < heartbeat.bornMillis()) {
                older.add(other.id());
            }
        }
        older.forEach(id -> {
            KnownEndpoint each = endpoints.get(id);
            each.record(each.record().in(EndpointPhase.GONE));
        });
    }
}
