package org.cicadahead.testbed.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Departures that an endpoint states in its responses only, by turns with starts of its next incarnation, and a check
 * of the requests that it gets meanwhile. Safe for use by several threads.
 */
final class SoakDeparture {
    /** The header with which an endpoint names itself and its incarnation to the caller. */
    static final String NAME_HEADER = "Soak-Endpoint";

    /** The time in which an entry may still pass on requests after it has passed on the statement, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;
    /** An endpoint that leaves by turns does so in the second half of each of these periods, in milliseconds. */
    private static final long PERIOD_MILLIS = 12_000;

    private final String endpoint;
    private final boolean leaves;
    private final SoakJudge judge;
    private final long startMillis = SoakJudge.now();
    private final long firstBornMillis = System.currentTimeMillis();
    private volatile long restartedMillis;
    /** The times at which callers received the statement, by process of an entry and incarnation of the endpoint. */
    private final Map<String, Long> statedMillis = new ConcurrentHashMap<>();

    SoakDeparture(String endpoint, boolean leaves, SoakJudge judge) {
        this.endpoint = endpoint;
        this.leaves = leaves;
        this.judge = judge;
    }

    /** Returns the start time of the present incarnation, in milliseconds since the epoch. */
    long bornMillis(long nowMillis) {
        long periods = leaves ? (nowMillis - startMillis) / PERIOD_MILLIS : 0;
        return Math.max(restartedMillis, firstBornMillis + periods * PERIOD_MILLIS);
    }

    /** The endpoint comes back after a crash, at a time in milliseconds since the epoch. */
    void restarted(long epochMillis) {
        restartedMillis = epochMillis;
    }

    /** Returns whether the endpoint states that it is leaving. */
    boolean isLeaving(long nowMillis) {
        return leaves && (nowMillis - startMillis) % PERIOD_MILLIS >= PERIOD_MILLIS / 2;
    }

    /** Returns the name of an incarnation for its responses. */
    String name(long nowMillis) {
        return endpoint + "@" + bornMillis(nowMillis);
    }

    /** A caller has received the statement of an incarnation through an entry. */
    void stated(SoakRequest request, String name, long nowMillis) {
        statedMillis.putIfAbsent(request.entryProcess() + " " + name, nowMillis);
    }

    /** The present incarnation has received a request. */
    void requestArrived(SoakRequest request, long nowMillis) {
        String name = name(nowMillis);
        Long stated = statedMillis.get(request.entryProcess() + " " + name);
        if (stated != null
                && request.sentMillis() > stated + DRAIN_MILLIS
                && request.entry().calmSince(stated)
                && request.isSameProcess()) {
            judge.violation(name + " got " + request.attempt() + " from " + request.entryProcess() + " "
                    + (request.sentMillis() - stated) + " ms after its departure was stated there");
        }
    }
}
