package org.cicadahead.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;

/**
 * The known endpoints, as merged from the heartbeats that one or more hubs report. Not thread-safe.
 *
 * <p>Heartbeats may arrive late, duplicated and through several hubs. An incarnation of an endpoint is identified by
 * its id and start time. Its phase never returns to an earlier one, and a later incarnation at the same address
 * replaces an earlier one. Create a registry with {@link #create(long)}.
 */
public final class EndpointRegistry {
    /** The number of heartbeat intervals without a heartbeat after which an endpoint counts as silent. */
    static final int SILENT_INTERVALS = 4;
    /**
     * The time that a silent or departed endpoint is kept, in milliseconds, so that a late heartbeat is not taken for a
     * new endpoint.
     */
    static final long RETENTION_MILLIS = 60_000;

    private final long silentMillis;
    private final Map<String, KnownEndpoint> endpoints = new HashMap<>();

    private EndpointRegistry(long silentMillis) {
        this.silentMillis = silentMillis;
    }

    /**
     * Returns an empty registry.
     *
     * @param heartbeatIntervalMillis the interval between heartbeats of an endpoint, in milliseconds
     * @return the registry
     * @throws IllegalArgumentException if the interval is not positive
     */
    public static EndpointRegistry create(long heartbeatIntervalMillis) {
        if (heartbeatIntervalMillis <= 0) {
            throw new IllegalArgumentException("The interval must be positive: " + heartbeatIntervalMillis);
        }
        return new EndpointRegistry(SILENT_INTERVALS * heartbeatIntervalMillis);
    }

    /**
     * Merges a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param nowMillis monotonic time in milliseconds
     * @return true if the endpoint is new, has changed or was silent before
     */
    public boolean applyHeartbeat(EndpointRecord heartbeat, long nowMillis) {
        KnownEndpoint known = endpoints.get(heartbeat.id());
        if (known == null || heartbeat.bornMillis() > known.record().bornMillis()) {
            if (known == null && isSuperseded(heartbeat)) {
                return false;
            }
            KnownEndpoint next = new KnownEndpoint(heartbeat, nowMillis);
            if (known != null && known.hasStatedDeparture(heartbeat.bornMillis())) {
                next.recordDepartureStatement(known.departureStatedWallMillis());
            }
            endpoints.put(heartbeat.id(), next);
            supersedeEarlier(heartbeat);
            return true;
        }
        EndpointRecord before = known.record();
        // A departure may be reported without a start time; it then applies to the known incarnation.
        boolean older = heartbeat.bornMillis() < before.bornMillis();
        if (older && !(heartbeat.bornMillis() == 0 && heartbeat.phase() == EndpointPhase.GONE)) {
            return false;
        }
        EndpointPhase phase = before.phase().later(heartbeat.phase());
        boolean newer =
                heartbeat.sequence() > before.sequence() && !heartbeat.address().isEmpty();
        // Processes that joined during the silence have not been told of the endpoint.
        boolean endsSilence = newer && isSilent(known, nowMillis);
        EndpointRecord merged = (newer ? heartbeat : before).withPhase(phase);
        known.record(merged);
        if (newer) {
            known.refresh(nowMillis);
        }
        return phase != before.phase() || endsSilence || newer && changed(before, heartbeat);
    }

    /**
     * Records that an endpoint has stated in a response that it is leaving. The statement holds for the incarnation
     * that made it, which may be a later one than the registry knows: for all that started before it was made.
     *
     * @param id the id of the endpoint
     * @param wallMillis the wall-clock time at which the response was received, in milliseconds since the epoch
     * @return true if it was not known before
     */
    public boolean recordDepartureStatement(String id, long wallMillis) {
        KnownEndpoint known = endpoints.get(id);
        boolean changed = known != null && known.record().phase().takesRequests();
        if (known != null) {
            known.recordDepartureStatement(wallMillis);
        }
        return changed;
    }

    /**
     * Records a heartbeat that changes nothing but the time of the last heartbeat.
     *
     * @param id the id of the endpoint
     * @param nowMillis monotonic time in milliseconds
     */
    public void refresh(String id, long nowMillis) {
        KnownEndpoint known = endpoints.get(id);
        if (known != null) {
            known.refresh(nowMillis);
        }
    }

    /**
     * Returns the endpoint with the given id.
     *
     * @param id the id of the endpoint
     * @return the endpoint, or null if it is unknown
     */
    public KnownEndpoint find(String id) {
        return endpoints.get(id);
    }

    /**
     * Returns the last heartbeats that are still valid for a process that knows none: all departed and draining
     * endpoints, but no ready one that has been silent, as it may have departed without this registry's knowledge.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return the heartbeats
     */
    public List<EndpointRecord> currentRecords(long nowMillis) {
        return endpoints.values().stream()
                .filter(each -> !each.record().phase().takesRequests() || !isSilent(each, nowMillis))
                .map(KnownEndpoint::record)
                .toList();
    }

    /**
     * Returns the endpoints of a service that accept requests.
     *
     * @param service the name of the service
     * @return the endpoints, including silent ones
     */
    public List<KnownEndpoint> acceptingRequests(String service) {
        List<KnownEndpoint> acceptingRequests = new ArrayList<>();
        for (KnownEndpoint each : endpoints.values()) {
            if (each.record().phase().takesRequests() && each.record().service().equals(service)) {
                acceptingRequests.add(each);
            }
        }
        return acceptingRequests;
    }

    /**
     * Returns the software versions of a service.
     *
     * @param service the name of the service
     * @return the versions of all its known endpoints, including departed ones that are still remembered
     */
    public Set<String> softwareVersions(String service) {
        return endpoints.values().stream()
                .map(KnownEndpoint::record)
                .filter(record -> record.service().equals(service))
                .map(EndpointRecord::softwareVersion)
                .collect(Collectors.toSet());
    }

    /**
     * Returns whether an endpoint has missed {@link #SILENT_INTERVALS} heartbeats.
     *
     * @param endpoint the endpoint
     * @param nowMillis monotonic time in milliseconds
     * @return true if it is silent
     */
    public boolean isSilent(KnownEndpoint endpoint, long nowMillis) {
        return nowMillis - endpoint.lastHeartbeatMillis() > silentMillis;
    }

    /**
     * Removes endpoints that have been silent for {@link #RETENTION_MILLIS} and have no request in flight.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void evictExpired(long nowMillis) {
        endpoints
                .values()
                .removeIf(each -> each.inFlight() == 0 && nowMillis - each.lastHeartbeatMillis() > RETENTION_MILLIS);
    }

    private static boolean changed(EndpointRecord before, EndpointRecord after) {
        return !before.address().equals(after.address())
                || !before.service().equals(after.service())
                || !before.zone().equals(after.zone())
                || before.slots() != after.slots()
                || !before.softwareVersion().equals(after.softwareVersion())
                || before.coldLeftMillis() > 0;
    }

    /**
     * Returns whether a later incarnation is known at the same address, which means that the heartbeat arrived late.
     */
    private boolean isSuperseded(EndpointRecord heartbeat) {
        for (KnownEndpoint each : endpoints.values()) {
            if (each.record().address().equals(heartbeat.address())
                    && each.record().bornMillis() > heartbeat.bornMillis()) {
                return true;
            }
        }
        return false;
    }

    private void supersedeEarlier(EndpointRecord heartbeat) {
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
            each.record(each.record().withPhase(EndpointPhase.GONE));
        });
    }
}
