package org.cicadahead.testbed.soak;

import java.util.ArrayList;
import java.util.List;

/** The times at which an endpoint or its link was down, in monotonic milliseconds. Thread-safe. */
final class SoakOutages {
    private final List<Long> beganMillis = new ArrayList<>();
    private final List<Long> endedMillis = new ArrayList<>();

    synchronized void began(long nowMillis) {
        beganMillis.add(nowMillis);
    }

    synchronized void ended(long nowMillis) {
        endedMillis.add(nowMillis);
    }

    /** Returns whether there was an outage in a span, or one that had not ended before it. */
    synchronized boolean isWithin(long fromMillis, long toMillis) {
        long begun = beganMillis.stream().filter(at -> at <= toMillis).count();
        long over = endedMillis.stream().filter(at -> at < fromMillis).count();
        return begun > over;
    }
}
