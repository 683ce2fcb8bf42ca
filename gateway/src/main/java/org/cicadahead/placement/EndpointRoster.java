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
 * <p>Reports may come late, twice and through several hubs. An incarnation is known by id and birth; its phase never
 * goes back, and a younger incarnation at the same address replaces an older one. The first use is
 * {@link #create(long)}.
 */
public final class EndpointRoster {
    /** An endpoint without a report for this many intervals of reports counts as silent. */
    static final int SILENT_INTERVALS = 4;
    /** How long an endpoint that has left is remembered, in milliseconds, so that a late report does not revive it. */
    static final long FORGET_MILLIS = 60_000;

    private final long silentMillis;
    private final Map<String, KnownEndpoint> endpoints = new HashMap<>();

    private EndpointRoster(long silentMillis) {
        this.silentMillis = silentMillis;
    }

    /**
     * Returns an empty roster.
     *
     * @param reportIntervalMillis how often an endpoint reports, in milliseconds
     * @return the roster
     * @throws IllegalArgumentException if the interval is not positive
     */
    public static EndpointRoster create(long reportIntervalMillis) {
        if (reportIntervalMillis <= 0) {
            throw new IllegalArgumentException("The interval must be positive: " + reportIntervalMillis);
        }
        return new EndpointRoster(SILENT_INTERVALS * reportIntervalMillis);
    }

    /**
     * Takes a report.
     *
     * @param report the report
     * @param nowMillis monotonic time in milliseconds
     * @return true if the endpoint is new or has changed
     */
    public boolean heard(EndpointRecord report, long nowMillis) {
        KnownEndpoint known = endpoints.get(report.id());
        if (known == null || report.bornMillis() > known.record().bornMillis()) {
            if (known == null && isSuperseded(report)) {
                return false;
            }
            endpoints.put(report.id(), new KnownEndpoint(report, nowMillis));
            supersedeOthers(report);
            return true;
        }
        EndpointRecord before = known.record();
        boolean older = report.bornMillis() < before.bornMillis();
        if (older && !(report.bornMillis() == 0 && report.phase() == EndpointPhase.GONE)) {
            return false;
        }
        EndpointPhase phase = before.phase().later(report.phase());
        boolean newer =
                report.sequence() > before.sequence() && !report.address().isEmpty();
        EndpointRecord merged = (newer ? report : before).in(phase);
        known.record(merged);
        if (newer) {
            known.alive(nowMillis);
        }
        return phase != before.phase() || newer && changed(before, report);
    }

    /**
     * Takes note that an endpoint has reported without a change.
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
     * Returns the reports of all endpoints, also of those that have left.
     *
     * @return the reports
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
     * Returns whether an endpoint has not reported for a while.
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

    /** Returns whether a younger incarnation is known at the address, as the report of an older one may come late. */
    private boolean isSuperseded(EndpointRecord report) {
        for (KnownEndpoint each : endpoints.values()) {
            if (each.record().address().equals(report.address())
                    && each.record().bornMillis() > report.bornMillis()) {
                return true;
            }
        }
        return false;
    }

    private void supersedeOthers(EndpointRecord report) {
        Set<String> older = new HashSet<>();
        for (KnownEndpoint each : endpoints.values()) {
            EndpointRecord other = each.record();
            if (!other.id().equals(report.id())
                    && !report.address().isEmpty()
                    && other.address().equals(report.address())
                    && other.bornMillis() < report.bornMillis()) {
                older.add(other.id());
            }
        }
        older.forEach(id -> {
            KnownEndpoint each = endpoints.get(id);
            each.record(each.record().in(EndpointPhase.GONE));
        });
    }
}
