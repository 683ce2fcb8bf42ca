package org.cicadahead.testbed.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The request limit that an endpoint states by turns, and a check of the requests that it gets. Safe for use by several
 * threads.
 */
final class SoakLimit {
    /** An endpoint states its limit in every second of these periods, in milliseconds. */
    private static final long PERIOD_MILLIS = 9_000;
    /** The time in which the entries must have adopted the limit, in milliseconds; from the platform. */
    private static final long ADOPT_MILLIS = 3_000;

    private static final long WINDOW_MILLIS = 4_000;
    private static final double TOLERANCE = 1.5;
    private static final int SLACK = 5;

    private final String endpoint;
    private final double requestsPerSecond;
    private final SoakJudge judge;
    private final BooleanSupplier entriesCalm;
    private final long startMillis = SoakJudge.now();
    private final Deque<Long> arrivals = new ArrayDeque<>();
    private boolean exceeded;
    /** The first statement of the limit by an incarnation that is not the first; 0 before, -1 for the first one. */
    private long statedMillis = -1;

    /**
     * Creates a limit.
     *
     * @param requestsPerSecond the limit; 0 if the endpoint never states one
     * @param entriesCalm whether all entries have run undisturbed for the time of a window and of the adoption
     */
    SoakLimit(String endpoint, double requestsPerSecond, SoakJudge judge, BooleanSupplier entriesCalm) {
        this.endpoint = endpoint;
        this.requestsPerSecond = requestsPerSecond;
        this.judge = judge;
        this.entriesCalm = entriesCalm;
    }

    /** The endpoint comes back as another incarnation, whose limit the entries have to adopt again. */
    synchronized void restarted() {
        arrivals.clear();
        statedMillis = 0;
    }

    /** Counts a request and returns the limit that its response states. */
    synchronized Optional<String> requestArrived() {
        long now = SoakJudge.now();
        long sinceStart = (now - startMillis) % (2 * PERIOD_MILLIS) - PERIOD_MILLIS;
        if (requestsPerSecond == 0 || sinceStart < 0) {
            arrivals.clear();
            return Optional.empty();
        }
        if (statedMillis == 0) {
            statedMillis = now;
        }
        if (sinceStart >= ADOPT_MILLIS && now >= statedMillis + ADOPT_MILLIS) {
            arrivals.add(now);
            while (arrivals.peek() <= now - WINDOW_MILLIS) {
                arrivals.remove();
            }
            double allowed = TOLERANCE * requestsPerSecond * WINDOW_MILLIS / 1_000 + SLACK;
            if (arrivals.size() > allowed && !exceeded && entriesCalm.getAsBoolean()) {
                exceeded = true;
                judge.violation(endpoint + " got " + arrivals.size() + " requests in " + WINDOW_MILLIS + " ms where "
                        + allowed + " are allowed");
            }
        }
        return Optional.of(Double.toString(requestsPerSecond));
    }
}
