package org.cicadahead.testbed.soak;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The events of one stream as its caller has received them, over several attempts. Not thread-safe. */
final class SoakStream {
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: ([^\n]*)\n\n");

    private final Set<String> versions = new LinkedHashSet<>();
    private String attempt = "";
    private String fault = "";
    private long lastEvent;

    /** Adds what an attempt brought; the body of a refusal holds no events. */
    void add(String id, String body, boolean isStream) {
        if (!isStream) {
            return;
        }
        Matcher event = EVENT.matcher(body);
        while (event.find()) {
            if (lastEvent == 0) {
                attempt = id;
            }
            if (Long.parseLong(event.group(1)) != lastEvent + 1) {
                fault = "event " + event.group(1) + " follows event " + lastEvent;
            }
            lastEvent = Long.parseLong(event.group(1));
            versions.add(event.group(2));
        }
        if (versions.size() > 1) {
            fault = "a stream holds events of the versions " + versions;
        }
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
