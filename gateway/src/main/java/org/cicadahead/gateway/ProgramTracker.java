package org.cicadahead.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cicadahead.fleet.PriorityClass;

/** Tracks the request rate of recently seen programs and assigns priority classes. Thread-safe. */
final class ProgramTracker {
    /** The maximum number of tracked programs; as many as an entry sees in a few minutes at peak load. */
    static final int MAX_PROGRAMS = 4_000;
    /** The time constant of the decaying request count, in milliseconds. */
    static final double WINDOW_MILLIS = 2_000;
    /**
     * The decaying request count above which a program is EXCESSIVE. Programs that terminate stay below it, because
     * their turns take about 100 ms each, with tool calls in parallel.
     */
    static final double EXCESSIVE_REQUESTS = 24;

    private static final int HIGHEST_PRIORITY = 0;

    private final Map<String, Activity> programs = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Activity> eldest) {
            return size() > MAX_PROGRAMS;
        }
    };

    private static final class Activity {
        private double decayedRequests;
        private boolean started;
        private long lastSeenMillis;
    }

    /** Counts a request of its program and returns the priority class of the request. */
    synchronized PriorityClass priority(AdmittedRequest admitted, long nowMillis) {
        ProgramContext programContext = admitted.caller().programContext();
        if (programContext == null) {
            return PriorityClass.CALL;
        }
        Activity activity = programs.get(programContext.program());
        if (activity == null) {
            activity = new Activity();
            programs.put(programContext.program(), activity);
        }
        activity.decayedRequests =
                activity.decayedRequests * Math.exp(-(nowMillis - activity.lastSeenMillis) / WINDOW_MILLIS) + 1;
        activity.lastSeenMillis = nowMillis;
        if (!admitted.route().repetition().isStreamed()) {
            return PriorityClass.CALL;
        }
        if (activity.decayedRequests > EXCESSIVE_REQUESTS) {
            return PriorityClass.EXCESSIVE;
        }
        if (activity.started || !admitted.caller().previousTurn().isEmpty()) {
            return PriorityClass.RUNNING;
        }
        return admitted.priority() == HIGHEST_PRIORITY ? PriorityClass.URGENT_NEW : PriorityClass.NEW;
    }

    /** Marks the program of an admitted request as running. */
    synchronized void markStarted(AdmittedRequest admitted) {
        ProgramContext programContext = admitted.caller().programContext();
        Activity activity = programContext == null ? null : programs.get(programContext.program());
        if (activity != null) {
            activity.started = true;
        }
    }
}
