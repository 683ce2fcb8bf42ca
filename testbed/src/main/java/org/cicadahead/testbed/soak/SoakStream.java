package org.cicadahead.testbed.soak;

import java.util.HashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The events of one stream as its caller has received them, over several attempts. The data of an event name the
 * software version, the run and the last event before the run. Not thread-safe.
 */
final class SoakStream {
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+) (\\S+) (\\d+)\n\n");

    private final Set<String> seenRuns = new HashSet<>();
    private String attempt = "";
    private String fault = "";
    private String version = "";
    private String run = "";
    private long lastEvent;

    /**
     * Adds what an attempt brought.
     *
     * @param isComplete whether the response has ended in order
     */
    void add(String id, String body, boolean isComplete) {
        Matcher event = EVENT.matcher(body);
        int end = 0;
        while (event.region(end, body.length()).lookingAt()) {
            if (lastEvent == 0) {
                attempt = id;
            }
            add(Long.parseLong(event.group(1)), event.group(2), event.group(3), Long.parseLong(event.group(4)));
            end = event.end();
        }
        String rest = body.substring(end);
        if (!rest.isEmpty() && (isComplete || !event.hitEnd())) {
            fault = "after event " + lastEvent + " follows no event but '"
                    + rest.replace("\r", "\\r").replace("\n", "\\n") + "'";
        }
    }

    private void add(long event, String eventVersion, String eventRun, long lastBeforeRun) {
        if (event != lastEvent + 1) {
            fault = "event " + event + " follows event " + lastEvent;
        }
        if (!version.isEmpty() && !version.equals(eventVersion)) {
            fault = "a stream holds events of the versions " + version + " and " + eventVersion;
        }
        if (!run.equals(eventRun)) {
            if (lastBeforeRun != lastEvent || !seenRuns.add(eventRun)) {
                fault = "a run that goes on after event " + lastBeforeRun + " follows event " + lastEvent;
            }
            run = eventRun;
        }
        version = eventVersion;
        lastEvent = event;
    }

    boolean hasBegun() {
        return lastEvent > 0;
    }

    long lastEvent() {
        return lastEvent;
    }

    /** Returns the attempt that brought the first event. */
    String attempt() {
        return attempt;
    }

    /** Returns what is wrong with the stream; empty if nothing is. */
    String fault() {
        return fault;
    }
}
