package org.cicadahead.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;

/**
 * Cache of the histories of programs with recent steps at this entry, so that control need not send them with each
 * step. Cached histories remain valid: committed steps never change, and control checks the order of the steps.
 * Thread-safe. No other lock is acquired while its monitor is held.
 */
final class HistoryCache {
    /**
     * Maximum age of a cached history in milliseconds. It is much shorter than the time after which control removes an
     * ended program.
     */
    static final long MAX_AGE_MILLIS = 60_000;

    private static final long MAX_BYTES = 64L * 1024 * 1024;

    private final Map<ProgramKey, CachedHistory> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    /**
     * The history of a program.
     *
     * @param root the root program
     * @param records all steps, starting with the first
     */
    record ProgramHistory(ProgramKey root, List<HistoryRecord> records) {}

    private record CachedHistory(ProgramHistory entry, long bytes, long cachedAtMillis) {}

    /** Returns the history if it has exactly the given number of steps and is not too old. */
    synchronized Optional<ProgramHistory> find(ProgramKey program, int steps, long nowMillis) {
        CachedHistory found = cache.get(program);
        if (found == null) {
            return Optional.empty();
        }
        boolean usable = nowMillis - found.cachedAtMillis() < MAX_AGE_MILLIS
                && found.entry().records().size() == steps;
        if (!usable) {
            remove(program);
        }
        return usable ? Optional.of(found.entry()) : Optional.empty();
    }

    synchronized void put(ProgramKey program, ProgramHistory entry, long nowMillis) {
        remove(program);
        long size = entry.records().stream()
                .mapToLong(record -> record.request().length + record.answer().length)
                .sum();
        cache.put(program, new CachedHistory(entry, size, nowMillis));
        bytes += size;
        Iterator<CachedHistory> oldest = cache.values().iterator();
        while (bytes > MAX_BYTES && oldest.hasNext()) {
            bytes -= oldest.next().bytes();
            oldest.remove();
        }
    }

    synchronized void remove(ProgramKey program) {
        CachedHistory old = cache.remove(program);
        bytes -= old == null ? 0 : old.bytes();
    }
}
