package org.cicadahead.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.protocol.PoisonEntry;
import org.cicadahead.protocol.PoisonTable;

/**
 * The local replica of the poison table of control, which lists requests that were running when an engine crashed.
 * Thread-safe.
 */
final class PoisonTableReplica {
    private volatile Map<RequestDigest, PoisonEntry> entries = Map.of();
    private volatile long version;

    void replace(PoisonTable table) {
        Map<RequestDigest, PoisonEntry> newEntries = new HashMap<>();
        table.entries().forEach(entry -> newEntries.put(entry.digest(), entry));
        entries = Map.copyOf(newEntries);
        version = table.version();
    }

    long version() {
        return version;
    }

    boolean isRefused(RequestDigest digest) {
        PoisonEntry entry = digest == null ? null : entries.get(digest);
        return entry != null && entry.refused();
    }

    /** Returns whether a request was running when an engine crashed. If so, its next run must be exclusive. */
    boolean isSuspect(RequestDigest digest) {
        return digest != null && entries.containsKey(digest);
    }
}
