package org.cicadahead.testbed.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** What callers and endpoints saw, and which promises it breaks. Safe for use by several threads. */
final class SoakJudge {
    private static final int MAX_RUNS = 1;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Set<String> saidNotRun = ConcurrentHashMap.newKeySet();
    private final Map<String, SoakRequest> requests = new ConcurrentHashMap<>();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final AtomicInteger resumed = new AtomicInteger();
    private final Set<String> once = ConcurrentHashMap.newKeySet();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();

    /** An endpoint began to run an attempt. */
    void ran(String attempt) {
        runs.computeIfAbsent(attempt, id -> new AtomicInteger()).incrementAndGet();
    }

    /** A caller sent a request. */
    void sent(SoakRequest request) {
        requests.put(request.attempt(), request);
    }

    /** Returns the request with an attempt id; empty if no caller has sent it. */
    Optional<SoakRequest> request(String attempt) {
        return Optional.ofNullable(requests.get(attempt));
    }

    /** A caller sent a request that may run once at most. */
    void askedOnce(String attempt) {
        once.add(attempt);
    }

    /** A caller was told that a request did not run and will not. */
    void notRun(String attempt) {
        saidNotRun.add(attempt);
    }

    /** A caller got no answer from an entry that was neither killed nor frozen. */
    void cut(String attempt) {
        cut.add(attempt);
    }

    /** A stream that broke off was resumed and ended whole. */
    void resumed() {
        resumed.incrementAndGet();
    }

    void asked() {
        asked.incrementAndGet();
    }

    void served() {
        served.incrementAndGet();
    }

    int servedSoFar() {
        return served.get();
    }

    void violation(String text) {
        violations.add(text);
    }

    /** Returns the broken promises, after the last request has ended. */
    List<String> verdict() {
        for (String attempt : once) {
            int count = runs.getOrDefault(attempt, new AtomicInteger()).get();
            if (count > MAX_RUNS) {
                violations.add("a request that may run once ran " + count + " times: " + attempt);
            }
            if (count > 0 && saidNotRun.contains(attempt)) {
                violations.add("a request was said not to have run, and ran: " + attempt);
            }
        }
        for (String attempt : cut) {
            if (runs.containsKey(attempt)) {
                violations.add("a request that ran was cut by an entry that was not killed: " + attempt);
            }
        }
        return List.copyOf(violations);
    }

    /** Returns the monotonic time in milliseconds. */
    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Returns the line for people. */
    String summary() {
        return served.get() + " of " + asked.get() + " requests served, " + saidNotRun.size()
                + " said not to have run, " + resumed.get() + " streams resumed";
    }
}
