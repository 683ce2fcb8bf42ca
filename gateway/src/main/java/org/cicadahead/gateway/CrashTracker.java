package org.cicadahead.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.cicadahead.fleet.CrashEvidence;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.ReportCrashes;
import org.cicadahead.model.RequestFingerprint;
import org.cicadahead.protocol.Done;
import org.cicadahead.quarantine.CrashTable;
import org.jboss.logging.Logger;

/**
 * Tracks requests that crash endpoints, and shares what it learns with the other entries through the hubs. Thread-safe;
 * takes no other lock than that of its table while it holds its own.
 */
final class CrashTracker {
    /**
     * The interval at which evidence of a quarantine is reported again, in milliseconds. Hubs keep evidence in memory,
     * and learn it again after all of them have restarted.
     */
    private static final long REPEAT_MILLIS = 2_000;
    /** The maximum number of observations in a report. */
    private static final int MAX_REPORTED = 500;
    /** The maximum number of observations that wait while no hub answers; further ones are not reported. */
    private static final int MAX_UNREPORTED = 4_096;

    private static final Logger LOG = Logger.getLogger("cicadahead.gateway");

    private final CrashTable table = CrashTable.create();
    private final List<Unreported> unreported = new ArrayList<>();
    private boolean reporting;
    private long repeatedMillis = Long.MIN_VALUE;

    /** Evidence that waits to be reported, and the monotonic time since which it does, in milliseconds. */
    private record Unreported(CrashEvidence evidence, long sinceMillis) {

        CrashEvidence evidenceAt(long nowMillis) {
            return evidence.olderBy(Math.max(0, nowMillis - sinceMillis));
        }
    }

    /** Returns how long a request remains in quarantine, in milliseconds; empty if it may be sent. */
    OptionalLong quarantineMillis(AdmittedRequest request, long nowMillis) {
        OptionalLong longest = OptionalLong.empty();
        for (RequestFingerprint each : heldFingerprints(request)) {
            OptionalLong millis = table.quarantineMillis(each, nowMillis);
            if (millis.isPresent() && millis.getAsLong() > longest.orElse(0)) {
                longest = millis;
            }
        }
        return longest;
    }

    /**
     * Records that the connection to an endpoint was lost while it ran a request; returns the fingerprint that all
     * repetitions of the request have in common.
     */
    RequestFingerprint lost(AdmittedRequest request, EndpointRecord endpoint, long sentMillis, long nowMillis) {
        List<RequestFingerprint> fingerprints = targets(request).stream()
                .map(each -> fingerprint(request, each))
                .toList();
        boolean repeats = sentMillis >= table.lastCrashMillis(fingerprints.get(0));
        for (RequestFingerprint each : fingerprints) {
            if (fingerprints.size() > 1 && each == fingerprints.get(0) && !repeats) {
                // Requests with other queries that were lost at the same time are no repetitions of each other.
                continue;
            }
            CrashEvidence evidence = new CrashEvidence(each, incarnation(endpoint), false, 0);
            if (add(evidence, nowMillis)) {
                report(List.of(evidence), nowMillis);
            }
        }
        return fingerprints.get(0);
    }

    /** Records a response that proves that an endpoint is alive and ran a request, which thus crashes no endpoints. */
    void answered(AdmittedRequest request, EndpointRecord endpoint, long nowMillis) {
        for (RequestFingerprint each : heldFingerprints(request)) {
            report(refuted(table.refute(each, nowMillis), "answered", endpoint), nowMillis);
        }
        report(refuted(table.refuteCrash(incarnation(endpoint), nowMillis), "not down", endpoint), nowMillis);
    }

    private static List<CrashEvidence> refuted(List<CrashEvidence> evidence, String reason, EndpointRecord endpoint) {
        for (CrashEvidence each : evidence) {
            LOG.infof(
                    "gateway: Requests %s did not crash %s %d ms ago (%s by %s)",
                    each.request(), each.incarnation(), each.ageMillis(), reason, incarnation(endpoint));
        }
        return evidence;
    }

    /** Merges the observations of other entries. */
    void merge(List<CrashEvidence> crashes, long nowMillis) {
        crashes.forEach(evidence -> add(evidence, nowMillis));
    }

    /**
     * Sends new observations to a hub. Those of a report that fails are sent again.
     *
     * @param hubs sends a report to any hub
     * @param nowMillis monotonic time in milliseconds
     */
    void tick(Function<ReportCrashes, CompletableFuture<Done>> hubs, long nowMillis) {
        List<Unreported> batch;
        synchronized (this) {
            if (reporting) {
                return;
            }
            if (nowMillis >= repeatedMillis + REPEAT_MILLIS) {
                repeatedMillis = nowMillis;
                table.expire(nowMillis);
                if (unreported.isEmpty()) {
                    addUnreported(table.quarantineEvidence(nowMillis), nowMillis);
                }
            }
            if (unreported.isEmpty()) {
                return;
            }
            batch = List.copyOf(unreported.subList(0, Math.min(MAX_REPORTED, unreported.size())));
            unreported.subList(0, batch.size()).clear();
            reporting = true;
        }
        List<CrashEvidence> evidence =
                batch.stream().map(each -> each.evidenceAt(nowMillis)).toList();
        hubs.apply(new ReportCrashes(evidence)).whenComplete((done, failure) -> reported(batch, failure == null));
    }

    private synchronized void reported(List<Unreported> batch, boolean received) {
        reporting = false;
        if (!received) {
            unreported.addAll(0, batch);
        }
    }

    private void report(List<CrashEvidence> evidence, long nowMillis) {
        if (evidence.isEmpty()) {
            return;
        }
        synchronized (this) {
            if (unreported.size() < MAX_UNREPORTED) {
                addUnreported(evidence, nowMillis);
            }
        }
    }

    private void addUnreported(List<CrashEvidence> evidence, long nowMillis) {
        evidence.forEach(each -> unreported.add(new Unreported(each, nowMillis)));
    }

    private boolean add(CrashEvidence evidence, long nowMillis) {
        RequestFingerprint request = evidence.request();
        boolean wasQuarantined = table.quarantineMillis(request, nowMillis).isPresent();
        boolean added = table.add(evidence, nowMillis);
        OptionalLong quarantine = table.quarantineMillis(request, nowMillis);
        if (!wasQuarantined && quarantine.isPresent()) {
            LOG.warnf(
                    "gateway: Requests %s are in quarantine for %d ms, the last endpoint lost is %s",
                    request, quarantine.getAsLong(), evidence.incarnation());
        }
        return added;
    }

    /** Returns the fingerprints of a request about which there may be evidence. */
    private List<RequestFingerprint> heldFingerprints(AdmittedRequest request) {
        int bodyBytes = request.caller().body().length;
        return targets(request).stream()
                .filter(each -> table.mayHold(RequestFingerprint.summary(each, bodyBytes)))
                .map(each -> fingerprint(request, each))
                .toList();
    }

    /**
     * Returns the targets by which a request is recognised: its path, as the query of a repetition may differ, and its
     * path and query, as only the query may distinguish it from requests that are answered.
     */
    private static List<String> targets(AdmittedRequest request) {
        CallerRequest caller = request.caller();
        return caller.target().equals(caller.path()) ? List.of(caller.path()) : List.of(caller.path(), caller.target());
    }

    private static String incarnation(EndpointRecord endpoint) {
        return endpoint.id() + "@" + endpoint.bornMillis();
    }

    private static RequestFingerprint fingerprint(AdmittedRequest request, String target) {
        CallerRequest caller = request.caller();
        return RequestFingerprint.of(request.organisationName(), caller.method(), target, caller.body());
    }
}
