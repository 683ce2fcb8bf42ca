package org.cicadahead.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadahead.fleet.CrashEvidence;
import org.cicadahead.model.RequestFingerprint;

/**
 * Decides which requests are in quarantine because endpoints crash when they run them. Thread-safe.
 *
 * <p>A request is put into quarantine once {@value #QUARANTINE_CRASHES} incarnations of endpoints were lost while they
 * ran it and no endpoint has answered it since. All other requests that an endpoint runs when it crashes are lost with
 * it; the answer to any of their repetitions refutes the suspicion. An incarnation that goes on to respond at once has
 * lost a connection, but has not crashed. The quarantine ends after a while, because an
 * endpoint of a later version may run the request. It lasts twice as long after each further crash.
 *
 * <p>Tables that are merged in any order and repeatedly hold the same evidence.
 */
public final class CrashTable {
    /** The number of lost incarnations after which a request is put into quarantine. */
    static final int QUARANTINE_CRASHES = 3;
    /** The duration of the first quarantine after the last crash, in milliseconds. */
    static final long FIRST_QUARANTINE_MILLIS = 120_000;
    /** The maximum duration of a quarantine, in milliseconds. */
    static final long MAX_QUARANTINE_MILLIS = 3_600_000;
    /**
     * The time that evidence is kept, in milliseconds; longer than a quarantine, so that the first crash after its end
     * begins the next one.
     */
    static final long RETENTION_MILLIS = 2 * MAX_QUARANTINE_MILLIS;
    /** The time that refuted evidence is kept, so that a late copy of it is recognised, in milliseconds. */
    static final long REFUTED_RETENTION_MILLIS = 60_000;
    /** The time that a response may be on its way, in milliseconds. */
    static final long IN_FLIGHT_MILLIS = 100;
    /** The minimum time from the crash of an endpoint to its first response as a new incarnation, in milliseconds. */
    static final long MIN_DOWN_MILLIS = 1_000;
    /**
     * The maximum number of requests. Beyond it, the one whose first crash was reported first is forgotten, but not one
     * with enough crashes for a quarantine while there are others.
     */
    static final int MAX_REQUESTS = 1_024;
    /** The maximum number of incarnations per request; more do not prolong the quarantine. */
    static final int MAX_CRASHES = 12;

    private final Map<RequestFingerprint, Map<String, Crash>> requests = new LinkedHashMap<>();
    /** The requests with evidence that is not refuted, by incarnation. */
    private final Map<String, Set<RequestFingerprint>> suspects = new HashMap<>();
    /** The number of requests by the summary of their fingerprints. */
    private final Map<Integer, Integer> summaries = new HashMap<>();

    private CrashTable() {}

    /**
     * Returns an empty table.
     *
     * @return the table
     */
    public static CrashTable create() {
        return new CrashTable();
    }

    /**
     * Returns whether the table may hold evidence about a request. A false result is certain.
     *
     * @param summary the summary of the request's fingerprint
     * @return false if it holds none
     */
    public synchronized boolean mayHold(int summary) {
        return summaries.containsKey(summary);
    }

    /**
     * Adds evidence.
     *
     * @param evidence the evidence
     * @param nowMillis monotonic time in milliseconds
     * @return true if it is new to this table
     */
    public synchronized boolean add(CrashEvidence evidence, long nowMillis) {
        Map<String, Crash> crashes = requests.get(evidence.request());
        Crash known = crashes == null ? null : crashes.get(evidence.incarnation());
        if (known != null && (known.refuted() || !evidence.refuted())) {
            return false;
        }
        long atMillis = known == null ? nowMillis - evidence.ageMillis() : known.atMillis();
        Crash crash = new Crash(atMillis, evidence.refuted());
        if (known == null && crash.hasExpired(nowMillis)) {
            return false;
        }
        if (crashes == null) {
            crashes = addRequest(evidence.request());
        }
        crashes.put(evidence.incarnation(), crash);
        if (crash.refuted()) {
            unsuspect(evidence.incarnation(), evidence.request());
        } else {
            suspects.computeIfAbsent(evidence.incarnation(), key -> new HashSet<>())
                    .add(evidence.request());
        }
        if (crashes.size() > MAX_CRASHES) {
            String first = crashes.keySet().iterator().next();
            crashes.remove(first);
            unsuspect(first, evidence.request());
        }
        return true;
    }

    /**
     * Refutes all evidence about a request, because an endpoint has answered it.
     *
     * @param request the fingerprint of the request
     * @param nowMillis monotonic time in milliseconds
     * @return the evidence that is refuted now; empty if there was none
     */
    public synchronized List<CrashEvidence> refute(RequestFingerprint request, long nowMillis) {
        Map<String, Crash> crashes = requests.get(request);
        if (crashes == null) {
            return List.of();
        }
        List<CrashEvidence> refuted = new ArrayList<>();
        for (String incarnation : List.copyOf(crashes.keySet())) {
            if (!crashes.get(incarnation).refuted()) {
                refuted.add(refute(request, incarnation, nowMillis));
            }
        }
        return refuted;
    }

    /**
     * Refutes the evidence that an incarnation has crashed shortly before, because its response has just been received.
     * Responses that were on their way are too early to prove it. Late ones may be from the next incarnation, which may
     * have the same id and is not known here yet; an endpoint that crashes is down for some seconds.
     *
     * @param incarnation the incarnation
     * @param nowMillis monotonic time in milliseconds
     * @return the evidence that is refuted now; empty if there was none
     */
    public synchronized List<CrashEvidence> refuteCrash(String incarnation, long nowMillis) {
        List<CrashEvidence> refuted = new ArrayList<>();
        for (RequestFingerprint request : List.copyOf(suspects.getOrDefault(incarnation, Set.of()))) {
            long sinceMillis =
                    nowMillis - requests.get(request).get(incarnation).atMillis();
            if (sinceMillis >= IN_FLIGHT_MILLIS && sinceMillis <= MIN_DOWN_MILLIS) {
                refuted.add(refute(request, incarnation, nowMillis));
            }
        }
        return refuted;
    }

    /**
     * Returns how long a request remains in quarantine.
     *
     * @param request the fingerprint of the request
     * @param nowMillis monotonic time in milliseconds
     * @return the time in milliseconds; empty if the request is not in quarantine
     */
    public synchronized OptionalLong quarantineMillis(RequestFingerprint request, long nowMillis) {
        int crashes = countCrashes(requests.getOrDefault(request, Map.of()));
        if (crashes < QUARANTINE_CRASHES) {
            return OptionalLong.empty();
        }
        long durationMillis =
                Math.min(MAX_QUARANTINE_MILLIS, FIRST_QUARANTINE_MILLIS << (crashes - QUARANTINE_CRASHES));
        long leftMillis = lastCrashMillis(request) + durationMillis - nowMillis;
        return leftMillis > 0 ? OptionalLong.of(leftMillis) : OptionalLong.empty();
    }

    /**
     * Returns the time of the last crash that a request is suspected of.
     *
     * @param request the fingerprint of the request
     * @return the monotonic time in milliseconds; {@link Long#MIN_VALUE} if there is none
     */
    public synchronized long lastCrashMillis(RequestFingerprint request) {
        long lastMillis = Long.MIN_VALUE;
        for (Crash crash : requests.getOrDefault(request, Map.of()).values()) {
            lastMillis = crash.refuted() ? lastMillis : Math.max(lastMillis, crash.atMillis());
        }
        return lastMillis;
    }

    /**
     * Returns the evidence, for a process that knows none.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return the evidence
     */
    public synchronized List<CrashEvidence> evidence(long nowMillis) {
        List<CrashEvidence> all = new ArrayList<>();
        requests.keySet().forEach(request -> all.addAll(evidence(request, nowMillis)));
        return all;
    }

    /**
     * Returns the evidence about requests that are in quarantine.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return the evidence
     */
    public synchronized List<CrashEvidence> quarantineEvidence(long nowMillis) {
        List<CrashEvidence> all = new ArrayList<>();
        for (RequestFingerprint request : requests.keySet()) {
            if (quarantineMillis(request, nowMillis).isPresent()) {
                all.addAll(evidence(request, nowMillis));
            }
        }
        return all;
    }

    /**
     * Removes expired evidence.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public synchronized void expire(long nowMillis) {
        Iterator<Map.Entry<RequestFingerprint, Map<String, Crash>>> entries =
                requests.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<RequestFingerprint, Map<String, Crash>> entry = entries.next();
            entry.getValue().entrySet().removeIf(each -> {
                boolean expired = each.getValue().hasExpired(nowMillis);
                if (expired) {
                    unsuspect(each.getKey(), entry.getKey());
                }
                return expired;
            });
            if (entry.getValue().isEmpty()) {
                entries.remove();
                removeSummary(entry.getKey());
            }
        }
    }

    private Map<String, Crash> addRequest(RequestFingerprint request) {
        if (requests.size() >= MAX_REQUESTS) {
            RequestFingerprint forgotten = leastSuspect();
            requests.remove(forgotten).keySet().forEach(incarnation -> unsuspect(incarnation, forgotten));
            removeSummary(forgotten);
        }
        Map<String, Crash> crashes = new LinkedHashMap<>();
        requests.put(request, crashes);
        summaries.merge(request.summary(), 1, Integer::sum);
        return crashes;
    }

    /** Returns the oldest request with too few crashes for a quarantine, or else the oldest one. */
    private RequestFingerprint leastSuspect() {
        return requests.entrySet().stream()
                .filter(each -> countCrashes(each.getValue()) < QUARANTINE_CRASHES)
                .findFirst()
                .map(Map.Entry::getKey)
                .orElseGet(() -> requests.keySet().iterator().next());
    }

    private static int countCrashes(Map<String, Crash> crashes) {
        int count = 0;
        for (Crash crash : crashes.values()) {
            count += crash.refuted() ? 0 : 1;
        }
        return count;
    }

    private CrashEvidence refute(RequestFingerprint request, String incarnation, long nowMillis) {
        Map<String, Crash> crashes = requests.get(request);
        Crash refuted = new Crash(crashes.get(incarnation).atMillis(), true);
        crashes.put(incarnation, refuted);
        unsuspect(incarnation, request);
        return refuted.toEvidence(request, incarnation, nowMillis);
    }

    private void unsuspect(String incarnation, RequestFingerprint request) {
        suspects.computeIfPresent(incarnation, (key, suspected) -> {
            suspected.remove(request);
            return suspected.isEmpty() ? null : suspected;
        });
    }

    private void removeSummary(RequestFingerprint request) {
        summaries.computeIfPresent(request.summary(), (summary, count) -> count == 1 ? null : count - 1);
    }

    private List<CrashEvidence> evidence(RequestFingerprint request, long nowMillis) {
        return requests.get(request).entrySet().stream()
                .map(each -> each.getValue().toEvidence(request, each.getKey(), nowMillis))
                .toList();
    }

    /** The loss of an incarnation, at a monotonic time in milliseconds. */
    private record Crash(long atMillis, boolean refuted) {

        boolean hasExpired(long nowMillis) {
            return nowMillis - atMillis > (refuted ? REFUTED_RETENTION_MILLIS : RETENTION_MILLIS);
        }

        CrashEvidence toEvidence(RequestFingerprint request, String incarnation, long nowMillis) {
            return new CrashEvidence(request, incarnation, refuted, Math.max(0, nowMillis - atMillis));
        }
    }
}
