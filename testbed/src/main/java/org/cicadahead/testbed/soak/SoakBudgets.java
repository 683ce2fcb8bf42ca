package org.cicadahead.testbed.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * Checks that requests reach no more endpoints, with no more time, and cost no more tokens than allowed. Thread-safe.
 */
final class SoakBudgets {
    /** The time by which a limit that an endpoint receives may exceed that of the caller, in ms; from the platform. */
    private static final long TIME_MARGIN_MILLIS = 500;
    /** The least time between two sendings of a request whose endpoint is silent, in milliseconds. */
    private static final long MIN_RESEND_MILLIS = 400;
    /** The number of requests whose repetition may end that much later than the first, and the share; a day has 20. */
    private static final int ENDED_LATER = 3;

    private static final double ENDED_LATER_SHARE = 0.2;
    /** The number of crashes after which a request is known to crash endpoints; from the platform. */
    private static final int CRASHES = 3;
    /** The number of retries that may reach endpoints after that; from the platform. */
    private static final int RETRIES = 3;
    /** The number of requests that may run at more endpoints than their route allows; from the platform. */
    private static final int REPEATED = 3;

    private final Map<String, List<SoakArrival>> runs = new ConcurrentHashMap<>();
    private final Map<String, SoakArrival> firstArrivals = new ConcurrentHashMap<>();
    private final AtomicInteger crashingRequests = new AtomicInteger();
    private final AtomicInteger sentAgain = new AtomicInteger();
    private final List<String> endedLater = new CopyOnWriteArrayList<>();
    private final Map<String, Crashes> crashes = new ConcurrentHashMap<>();
    private final Map<String, Integer> tokens = new ConcurrentHashMap<>();
    /** The times at which the soak itself did not run, so that it measures arrivals too late. */
    private final SoakOutages stalls = new SoakOutages();

    private final Consumer<String> violations;
    private volatile LongPredicate knowledgeLostSince = millis -> false;

    /** The endpoints that a request has crashed, and the retries that reached endpoints afterwards. */
    private static final class Crashes {
        private final List<Long> atMillis = new CopyOnWriteArrayList<>();
        private final List<String> retries = new CopyOnWriteArrayList<>();
    }

    SoakBudgets(Consumer<String> violations) {
        this.violations = violations;
    }

    /** Sets how to tell whether all hubs and entries may have lost what they knew at a monotonic time. */
    void knowledgeLostSince(LongPredicate lost) {
        knowledgeLostSince = lost;
    }

    /** The threads of the soak did not run in a span of monotonic milliseconds. */
    void stalled(long fromMillis, long toMillis) {
        stalls.began(fromMillis);
        stalls.ended(toMillis);
    }

    /** Checks the time limit that an endpoint has received from an entry that is in touch. */
    void arrived(SoakRequest request, SoakArrival arrival) {
        SoakArrival first = firstArrivals.computeIfAbsent(arrival.attempt(), key -> arrival);
        if (!request.isInTouch(arrival.atMillis())
                || stalls.isWithin(request.sentMillis(), arrival.atMillis())
                || arrival.endpoint().disturbedWithin(request.sentMillis(), arrival.atMillis())) {
            return;
        }
        if (arrival.timeLeftMillis() > request.limitMillis() + TIME_MARGIN_MILLIS) {
            violations.accept(
                    "an endpoint received a longer time limit than the caller's: " + arrival + ", " + request);
        }
        // A much longer time left is that of a request which was sent before the first one and was late on its way.
        boolean sentBefore = arrival.timeLeftMillis() > first.timeLeftMillis() + MIN_RESEND_MILLIS;
        if (!sentBefore && arrival.atMillis() > first.atMillis() + TIME_MARGIN_MILLIS) {
            sentAgain.incrementAndGet();
            long latestMillis = Math.max(first.endMillis(), request.sentMillis() + request.limitMillis());
            if (arrival.endMillis() > latestMillis + TIME_MARGIN_MILLIS) {
                endedLater.add(request + " to " + first + " and " + arrival);
            }
        }
    }

    /** An endpoint begins to run a request. */
    void ran(SoakArrival arrival) {
        runs.computeIfAbsent(arrival.attempt(), key -> new CopyOnWriteArrayList<>())
                .add(arrival);
    }

    /** Returns the endpoints that ran an attempt, with their times. */
    List<SoakArrival> runs(String attempt) {
        return runs.getOrDefault(attempt, List.of());
    }

    /** A request has crashed an endpoint. */
    void crashed(String path, long nowMillis) {
        Crashes known = crashes.computeIfAbsent(path, key -> new Crashes());
        known.atMillis.add(nowMillis);
    }

    /** A request that crashes endpoints is sent by its caller. */
    void crashingRequestSent(String path, SoakRequest request, boolean coreStable) {
        if (isKnownToCrash(path, request, request.sentMillis(), coreStable)) {
            crashingRequests.incrementAndGet();
        }
    }

    /** Checks a request that crashes endpoints and has reached one. */
    void crashingRequestArrived(String path, SoakRequest request, SoakArrival arrival, boolean coreStable) {
        if (isKnownToCrash(path, request, arrival.atMillis(), coreStable)) {
            Crashes known = crashes.get(path);
            known.retries.add(request + " to " + arrival);
            if (known.retries.size() == RETRIES + 1) {
                boolean lost = knowledgeLostSince.test(known.atMillis.get(CRASHES - 1));
                violations.accept("a request that crashes endpoints reached " + known.retries.size()
                        + " after the contact time" + (lost ? " and restarts of all hubs and entries" : "") + ": "
                        + path + ", crashes at " + known.atMillis + ", " + known.retries);
            }
        }
    }

    /** Returns whether an entry in touch must know that a request crashes endpoints. */
    private boolean isKnownToCrash(String path, SoakRequest request, long nowMillis, boolean coreStable) {
        Crashes known = crashes.get(path);
        return known != null
                && known.atMillis.size() >= CRASHES
                && coreStable
                && request.isInTouch(nowMillis)
                && request.sentMillis() > known.atMillis.get(CRASHES - 1) + SoakFleet.CONTACT_MILLIS;
    }

    /** A caller has received tokens of a program. */
    void received(String program, String attempt, int count, int budget, int mostOfTurn) {
        int total = tokens.merge(program, count, Integer::sum);
        if (count > 0 && total > budget + mostOfTurn) {
            violations.accept("a program with a budget of " + budget + " got " + total + " tokens: " + attempt);
        }
    }

    /** Returns what was checked, for people. */
    String summary() {
        int retries = crashes.values().stream()
                .mapToInt(known -> known.retries.size())
                .sum();
        return crashingRequests + " requests known to crash endpoints, of which " + retries + " reached one, "
                + sentAgain + " requests sent again late, " + endedLater.size() + " of them with more time";
    }

    /** Checks the endpoints at which attempts have run, after the last request has ended. */
    void verdict(Map<String, SoakRequest> requests) {
        List<String> exceeded = new ArrayList<>();
        runs.forEach((attempt, list) -> {
            long end = list.get(list.size() - 1).atMillis();
            Set<String> endpoints = new HashSet<>();
            for (SoakArrival arrival : list) {
                if (!arrival.endpoint().disturbedWithin(arrival.atMillis(), end)) {
                    endpoints.add(arrival.endpoint().name());
                }
            }
            if (endpoints.size() > requests.get(attempt).maxAttempts()) {
                exceeded.add(requests.get(attempt) + " to " + list);
            }
        });
        if (endedLater.size() > Math.max(ENDED_LATER, ENDED_LATER_SHARE * sentAgain.get())) {
            violations.accept(endedLater.size() + " of " + sentAgain + " requests that were sent again had more time: "
                    + endedLater);
        }
        if (exceeded.size() > REPEATED) {
            violations.accept(exceeded.size() + " requests ran at too many endpoints: " + exceeded);
        }
    }
}
