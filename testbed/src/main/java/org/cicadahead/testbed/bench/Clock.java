package org.cicadahead.testbed.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in virtual time; events of the same time run in the order in which they were added. */
final class Clock {
    private static final long MICROS_PER_MILLI = 1_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::micros).thenComparingLong(Event::number));
    private long micros;
    private long number;

    Clock(long micros) {
        this.micros = micros;
    }

    private record Event(long micros, long number, Runnable action) {}

    long micros() {
        return micros;
    }

    long millis() {
        return micros / MICROS_PER_MILLI;
    }

    void after(long delayMicros, Runnable action) {
        events.add(new Event(micros + Math.max(0, delayMicros), number++, action));
    }

    void every(long intervalMicros, Runnable action) {
        after(intervalMicros, () -> {
            action.run();
            every(intervalMicros, action);
        });
    }

    /** Runs the next event; returns false if there is none. */
    boolean step() {
        Event next = events.poll();
        if (next == null) {
            return false;
        }
        micros = next.micros();
        next.action().run();
        return true;
    }
}
