package org.cicadahead.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;

/**
 * The histories of programs that were here lately, so that control does not send them with each step. Committed steps
 * never change, and control checks the order of the steps. Safe for use by several threads; its monitor is a leaf.
 */
final class HistoryCache {
    /** A history unused for this time, in milliseconds, is dropped; long before control forgets an ended program. */
    static final long MAX_AGE_MILLIS = 60_000;

    private static final long MAX_BYTES = 64L * 1024 * 1024;

    private final Map<ProgramKey, Held> held = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    /**
     * The history of a program.
     *
     * @param root the root program
     * @param records all steps from the first
     */
    record Entry(ProgramKey root, List<HistoryRecord> records) {}

    private record Held(Entry entry, long bytes, long usedAtMillis) {}

    /** Returns the history if it has exactly the wanted number of steps. */
    synchronized Optional<Entry> find(ProgramKey program, int steps, long nowMillis) {
        Held found = held.get(program);
        if (found == null) {
            return Optional.empty();
        }
        boolean usable = nowMillis - found.usedAtMillis() < MAX_AGE_MILLIS
                && found.entry().records().size() == steps;
        if (!usable) {
            remove(program);
        }
        return usable ? Optional.of(found.entry()) : Optional.empty();
    }

    synchronized void put(ProgramKey program, Entry entry, long nowMillis) {
        remove(program);
        long size = entry.records().stream()
                .mapToLong(record -> record.request().length + record.answer().length)
                .sum();
        held.put(program, new Held(entry, size, nowMillis));
        bytes += size;
        Iterator<Held> oldest = held.values().iterator();
        while (bytes > MAX_BYTES && oldest.hasNext()) {
            bytes -= oldest.next().bytes();
            oldest.remove();
        }
    }

    synchronized void remove(ProgramKey program) {
        Held old = held.remove(program);
        bytes -= old == null ? 0 : old.bytes();
    }
}
