package org.cicadahead.testbed.soak;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongPredicate;

/** What callers and endpoints saw, and which promises it breaks. Safe for use by several threads. */
final class SoakJudge {
    private static final int MAX_RUNS = 1;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Set<String> saidNotRun = ConcurrentHashMap.newKeySet();
    private final Map<String, SoakRequest> requests = new ConcurrentHashMap<>();
    private final Map<String, Long> cut = new ConcurrentHashMap<>();
    private final Set<String> brokenOff = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> responses = new ConcurrentHashMap<>();
    private final Map<String, List<String>> told = new ConcurrentHashMap<>();
    private final AtomicInteger resumed = new AtomicInteger();
    private final Set<String> once = ConcurrentHashMap.newKeySet();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final SoakBudgets budgets = new SoakBudgets(this::violation);
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private volatile LongPredicate coreStable = nowMillis -> false;

    /** Sets how to tell whether the hubs and stores are undisturbed at a time. */
    void coreStable(LongPredicate stable) {
        coreStable = stable;
    }

    /** Sets how to tell whether all hubs and entries may have lost what they knew at a time. */
    void knowledgeLostSince(LongPredicate lost) {
        budgets.knowledgeLostSince(lost);
    }

    /** The threads of the soak did not run in a span. */
    void stalled(long fromMillis, long toMillis) {
        budgets.stalled(fromMillis, toMillis);
    }

    /** A request reached the incarnation of an endpoint that it was sent to. */
    void arrived(SoakArrival arrival) {
        request(arrival.attempt()).ifPresent(request -> budgets.arrived(request, arrival));
    }

    /** An endpoint began to run an attempt. */
    void ran(SoakArrival arrival) {
        runs.computeIfAbsent(arrival.attempt(), id -> new AtomicInteger()).incrementAndGet();
        budgets.ran(arrival);
    }

    /** Returns whether an endpoint has begun to run an attempt. */
    boolean hasRun(String attempt) {
        return runs.containsKey(attempt);
    }

    /** A request that crashes endpoints is sent. */
    void crashingRequestSent(String path, String attempt) {
        request(attempt).ifPresent(request -> budgets.crashingRequestSent(path, request, coreStable.test(now())));
    }

    /** A request that crashes endpoints reached one. */
    void crashingRequestArrived(String path, SoakArrival arrival) {
        request(arrival.attempt())
                .ifPresent(request ->
                        budgets.crashingRequestArrived(path, request, arrival, coreStable.test(arrival.atMillis())));
    }

    /** A request has crashed an endpoint. */
    void crashed(String path, long nowMillis) {
        budgets.crashed(path, nowMillis);
    }

    /** A caller received tokens of a program. */
    void receivedTokens(String program, String attempt, int count, int budget, int mostOfTurn) {
        budgets.received(program, attempt, count, budget, mostOfTurn);
    }

    /** An endpoint broke the response to an attempt off, or answered it wrongly. */
    void brokenOff(String attempt) {
        brokenOff.add(attempt);
    }

    /** An endpoint answered an attempt with a response of a kind. */
    void sentResponse(String attempt, String kind) {
        told.computeIfAbsent(attempt, key -> new CopyOnWriteArrayList<>()).add(kind);
        responses.computeIfAbsent(kind, key -> new AtomicInteger()).incrementAndGet();
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
        cut.put(attempt, now());
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

    /** Returns what the endpoints did with an attempt, for people. */
    String history(String attempt) {
        return "ran at " + budgets.runs(attempt) + ", responses " + told.getOrDefault(attempt, List.of());
    }

    /** Records a broken promise; the time helps to find it in the logs of the processes. */
    void violation(String text) {
        violations.add(text);
        System.out.printf("soak: at %s, %d: %s%n", Instant.now(), now(), text);
    }

    /** Returns the broken promises, after the last request has ended. */
    List<String> verdict() {
        for (String attempt : once) {
            int count = runs.getOrDefault(attempt, new AtomicInteger()).get();
            if (count > MAX_RUNS) {
                violation("a request that may run once ran " + count + " times: " + attempt);
            }
            if (count > 0 && saidNotRun.contains(attempt)) {
                violation("a request was said not to have run, and ran: " + attempt);
            }
        }
        cut.forEach((attempt, atMillis) -> {
            List<SoakArrival> ran = budgets.runs(attempt);
            boolean crashed = ran.stream().anyMatch(run -> run.endpoint().crashedWithin(run.atMillis(), atMillis));
            if (!ran.isEmpty() && !crashed && !brokenOff.contains(attempt)) {
                violation("a request that ran was cut by an entry that was not killed: " + requests.get(attempt)
                        + ", cut at " + atMillis + ", " + history(attempt));
            }
        });
        budgets.verdict(requests);
        return List.copyOf(violations);
    }

    /** Returns the monotonic time in milliseconds. */
    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Returns the lines for people. */
    String summary() {
        return served.get() + " of " + asked.get() + " requests served, " + saidNotRun.size()
                + " said not to have run, " + resumed.get() + " streams resumed, " + budgets.summary()
                + ", responses sent: "
                + new TreeMap<>(responses);
    }
}
