package org.cicadahead.turns;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The software versions at which streams may have begun. Not thread-safe; owned by {@link TurnTable}.
 *
 * <p>A version is recorded before the request is sent to an endpoint of that version. Records are only added to, so
 * that they may be repeated and arrive in any order.
 */
final class StreamTable {
    /** The time for which a version is kept, in milliseconds; a caller resumes its stream within its time limit. */
    static final long RETENTION_MILLIS = 60_000;

    private final Map<List<String>, StreamRow> rows = new HashMap<>();

    void record(String organisation, String attempt, String version, long nowMillis) {
        List<String> key = List.of(organisation, attempt);
        Set<String> versions = new HashSet<>(versions(organisation, attempt, nowMillis));
        versions.add(version);
        rows.put(key, new StreamRow(organisation, attempt, versions, nowMillis + RETENTION_MILLIS));
    }

    /** Returns the versions at which an attempt may have begun its stream; empty if they are not known. */
    Set<String> versions(String organisation, String attempt, long nowMillis) {
        StreamRow row = rows.get(List.of(organisation, attempt));
        return row == null || row.keptUntilMillis() < nowMillis ? Set.of() : row.versions();
    }

    void restore(StreamRow row) {
        rows.put(List.of(row.organisation(), row.attempt()), row);
    }

    Collection<StreamRow> rows() {
        return rows.values();
    }

    void removeExpired(long nowMillis) {
        rows.values().removeIf(row -> row.keptUntilMillis() < nowMillis);
    }
}
