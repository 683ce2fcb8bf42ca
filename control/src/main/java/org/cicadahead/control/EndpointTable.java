package org.cicadahead.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cicadahead.model.EndpointId;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.EndpointsDelta;

/**
 * The live endpoints as the leader hears of them. Not safe for use by several threads; times never go back.
 *
 * <p>A new leader only adds until it has listened for {@value #TIMEOUT_MILLIS} ms. Until then an endpoint that it does
 * not know may be one that did not report yet, and receivers of the table of the leader before keep it.
 */
final class EndpointTable {
    /** An endpoint that is silent for this long is removed, in milliseconds. */
    static final long TIMEOUT_MILLIS = 2_000;
    /** Removals listed for receivers that are behind; others get the whole table. */
    static final int MAX_REMOVALS = 2_000;

    private final Map<EndpointId, Row> rows = new TreeMap<>();
    private final TreeMap<Long, EndpointId> removals = new TreeMap<>();
    private final Map<EndpointId, Long> removedMillis = new HashMap<>();
    /** The generation of the daemon that was asked to drain; a later generation is not. */
    private final Map<EndpointId, Long> draining = new HashMap<>();

    private final long epoch;
    private final long startMillis;
    private long lastAdvanceMillis;
    private long version = 1;
    private long completeSince = Long.MAX_VALUE;
    private long lastDroppedRemoval;

    EndpointTable(long epoch, long nowMillis) {
        this.epoch = epoch;
        this.startMillis = nowMillis;
        this.lastAdvanceMillis = nowMillis;
    }

    /**
     * Takes the announcement of an endpoint. One of an older generation of its daemon is ignored.
     *
     * @return true if the daemon is to drain
     */
    boolean announce(long nowMillis, Announcement announcement, EndpointLoad load) {
        advance(nowMillis);
        EndpointId id = announcement.endpoint();
        Row before = rows.get(id);
        if (before != null && before.announcement.generation() > announcement.generation()) {
            return false;
        }
        draining.computeIfPresent(id, (key, drained) -> drained < announcement.generation() ? null : drained);
        if (before != null && before.announcement.equals(announcement)) {
            before.lastHeardMillis = nowMillis;
            before.load = load;
        } else {
            version++;
            rows.put(id, new Row(announcement, load, nowMillis, version));
            removals.values().remove(id);
            removedMillis.remove(id);
        }
        return draining.containsKey(id);
    }

    /** Removes endpoints that have been silent. */
    void advance(long nowMillis) {
        restartTimeoutsAfterPause(nowMillis);
        if (nowMillis - startMillis < TIMEOUT_MILLIS) {
            return;
        }
        if (completeSince == Long.MAX_VALUE) {
            version++;
            completeSince = version;
        }
        Iterator<Row> each = rows.values().iterator();
        while (each.hasNext()) {
            Row row = each.next();
            if (nowMillis - row.lastHeardMillis > TIMEOUT_MILLIS) {
                each.remove();
                EndpointId id = row.announcement.endpoint();
                version++;
                removals.put(version, id);
                removedMillis.put(id, nowMillis);
                if (removals.size() > MAX_REMOVALS) {
                    lastDroppedRemoval = removals.firstKey();
                    removedMillis.remove(removals.remove(lastDroppedRemoval));
                }
            }
        }
    }

    /**
     * Returns what a receiver lacks.
     *
     * @param receiverEpoch the epoch of the table that it has
     * @param receiverVersion its version
     * @return the changes, or empty if it lacks nothing
     */
    Optional<EndpointsDelta> since(long receiverEpoch, long receiverVersion) {
        boolean complete = completeSince != Long.MAX_VALUE;
        long known = receiverEpoch == epoch ? receiverVersion : 0;
        if (known >= version) {
            return Optional.empty();
        }
        boolean full = complete && (known < completeSince || known < lastDroppedRemoval);
        List<Announcement> announced = new ArrayList<>();
        for (Row row : rows.values()) {
            if (full || row.version > known) {
                announced.add(row.announcement);
            }
        }
        List<EndpointId> removed =
                full ? List.of() : List.copyOf(removals.tailMap(known, false).values());
        return Optional.of(new EndpointsDelta(full, epoch, version, announced, removed));
    }

    /** Asks the daemon of an endpoint to drain, until it restarts. */
    boolean drain(EndpointId endpoint) {
        Row row = rows.get(endpoint);
        if (row == null) {
            return false;
        }
        draining.put(endpoint, row.announcement.generation());
        return true;
    }

    /** Returns the generation of a live endpoint. */
    Optional<Long> generation(EndpointId endpoint) {
        return Optional.ofNullable(rows.get(endpoint)).map(r -> r.announcement.generation());
    }

    /** Returns for how long an endpoint has been absent from the table, as far as this leader knows. */
    long absentMillis(long nowMillis, EndpointId endpoint) {
        if (rows.containsKey(endpoint) || completeSince == Long.MAX_VALUE) {
            return 0;
        }
        return nowMillis - removedMillis.getOrDefault(endpoint, startMillis + TIMEOUT_MILLIS);
    }

    List<LiveEndpoint> list() {
        return rows.values().stream()
                .map(r -> new LiveEndpoint(r.announcement, r.load, draining.containsKey(r.announcement.endpoint())))
                .toList();
    }

    /** A leader that was itself frozen has heard of nobody; endpoints get the time to report again. */
    private void restartTimeoutsAfterPause(long nowMillis) {
        if (nowMillis - lastAdvanceMillis > TIMEOUT_MILLIS / 2) {
            rows.values().forEach(row -> row.lastHeardMillis = nowMillis);
        }
        lastAdvanceMillis = nowMillis;
    }

    /** An endpoint as it last reported. */
    private static final class Row {
        private final Announcement announcement;
        private final long version;
        private EndpointLoad load;
        private long lastHeardMillis;

        Row(Announcement announcement, EndpointLoad load, long lastHeardMillis, long version) {
            this.announcement = announcement;
            this.load = load;
            this.lastHeardMillis = lastHeardMillis;
            this.version = version;
        }
    }

    /**
     * A live endpoint.
     *
     * @param announcement its announcement
     * @param load its load, or null
     * @param draining whether it was asked to drain
     */
    record LiveEndpoint(Announcement announcement, EndpointLoad load, boolean draining) {}
}
