package org.cicadahead.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cicadahead.fleet.PriorityClass;

/** The programs that an entry has seen lately, and how many requests they send. Safe for use by several threads. */
final class ProgramTracker {
    /** The programs that are remembered; some minutes at the peak of an entry. */
    static final int MAX_PROGRAMS = 4_000;
    /** Requests are counted over about this time, in milliseconds. */
    static final double WINDOW_MILLIS = 2_000;
    /** More requests in the window than programs send that end by themselves: turns of 100 ms with calls beside. */
    static final double EXCESSIVE_REQUESTS = 24;

    private final Map<String, Activity> programs = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Activity> eldest) {
            return size() > MAX_PROGRAMS;
        }
    };

    private static final class Activity {
        private double requests;
        private boolean begun;
        private long seenMillis;
    }

    /** Counts a request and returns its priority class. */
    synchronized PriorityClass priority(AdmittedRequest admitted, long nowMillis) {
        ProgramContext line = admitted.caller().programContext();
        if (line == null) {
            return PriorityClass.CALL;
        }
        Activity activity = programs.get(line.program());
        if (activity == null) {
            activity = new Activity();
            programs.put(line.program(), activity);
        }
        activity.requests = activity.requests * Math.exp(-(nowMillis - activity.seenMillis) / WINDOW_MILLIS) + 1;
        activity.seenMillis = nowMillis;
        if (!admitted.route().repetition().isStreamed()) {
            return PriorityClass.CALL;
        }
        if (activity.requests > EXCESSIVE_REQUESTS) {
            return PriorityClass.EXCESSIVE;
        }
        boolean running = activity.begun || !admitted.caller().previousTurn().isEmpty();
        return running ? PriorityClass.RUNNING : PriorityClass.NEW;
    }

    /** Takes note that a request of a program was admitted, so that the program is under way. */
    synchronized void begun(AdmittedRequest admitted) {
        ProgramContext line = admitted.caller().programContext();
        Activity activity = line == null ? null : programs.get(line.program());
        if (activity != null) {
            activity.begun = true;
        }
    }
}
