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
 * The endpoints whose heartbeats the leader receives. Not thread-safe; the times passed in must not decrease.
 *
 * <p>During the first {@value #TIMEOUT_MILLIS} ms a new leader only adds endpoints. Until then a live endpoint may not
 * have sent a heartbeat to this leader yet, so receivers keep the endpoints that they have from the previous leader.
 */
final class EndpointTable {
    /** An endpoint without a heartbeat for longer than this is removed, in milliseconds. */
    static final long TIMEOUT_MILLIS = 2_000;
    /**
     * Number of removals kept for receivers that are behind; a receiver that is further behind gets the whole table.
     */
    static final int MAX_REMOVALS = 2_000;

    private final Map<EndpointId, Row> rows = new TreeMap<>();
    private final TreeMap<Long, EndpointId> removals = new TreeMap<>();
    private final Map<EndpointId, Long> removedMillis = new HashMap<>();
    /**
     * The endpoints asked to drain, each with the generation of its daemon; the request does not apply to a later one.
     */
    private final Map<EndpointId, Long> draining = new HashMap<>();

    private final long epoch;
    private final long startMillis;
    private long lastAdvanceMillis;
    private long version = 1;
    private long completeSinceVersion = Long.MAX_VALUE;
    private long lastDroppedRemovalVersion;

    EndpointTable(long epoch, long nowMillis) {
        this.epoch = epoch;
        this.startMillis = nowMillis;
        this.lastAdvanceMillis = nowMillis;
    }

    /**
     * Records the announcement of an endpoint. An announcement by an older generation of its daemon is ignored.
     *
     * @return true if the daemon is to drain
     */
    boolean announce(long nowMillis, Announcement announcement, EndpointLoad load) {
        advance(nowMillis);
        EndpointId id = announcement.endpoint();
        Row existing = rows.get(id);
        if (existing != null && existing.announcement.generation() > announcement.generation()) {
            return false;
        }
        draining.computeIfPresent(
                id,
                (key, drainedGeneration) -> drainedGeneration < announcement.generation() ? null : drainedGeneration);
        if (existing != null && existing.announcement.equals(announcement)) {
            existing.lastHeardMillis = nowMillis;
            existing.load = load;
        } else {
            version++;
            rows.put(id, new Row(announcement, load, nowMillis, version));
            removals.values().remove(id);
            removedMillis.remove(id);
        }
        return draining.containsKey(id);
    }

    /** Removes the endpoints whose heartbeats have timed out. */
    void advance(long nowMillis) {
        restartTimeoutsAfterPause(nowMillis);
        if (nowMillis - startMillis < TIMEOUT_MILLIS) {
            return;
        }
        if (completeSinceVersion == Long.MAX_VALUE) {
            version++;
            completeSinceVersion = version;
        }
        Iterator<Row> iterator = rows.values().iterator();
        while (iterator.hasNext()) {
            Row row = iterator.next();
            if (nowMillis - row.lastHeardMillis > TIMEOUT_MILLIS) {
                iterator.remove();
                EndpointId id = row.announcement.endpoint();
                version++;
                removals.put(version, id);
                removedMillis.put(id, nowMillis);
                if (removals.size() > MAX_REMOVALS) {
                    lastDroppedRemovalVersion = removals.firstKey();
                    removedMillis.remove(removals.remove(lastDroppedRemovalVersion));
                }
            }
        }
    }

    /**
     * Returns the changes since the version of a receiver.
     *
     * @param receiverEpoch the epoch of the table that the receiver has
     * @param receiverVersion the version of that table
     * @return the changes, or empty if the receiver is up to date
     */
    Optional<EndpointsDelta> since(long receiverEpoch, long receiverVersion) {
        boolean complete = completeSinceVersion != Long.MAX_VALUE;
        long knownVersion = receiverEpoch == epoch ? receiverVersion : 0;
        if (knownVersion >= version) {
            return Optional.empty();
        }
        boolean full = complete && (knownVersion < completeSinceVersion || knownVersion < lastDroppedRemovalVersion);
        List<Announcement> announced = new ArrayList<>();
        for (Row row : rows.values()) {
            if (full || row.version > knownVersion) {
                announced.add(row.announcement);
            }
        }
        List<EndpointId> removed = full
                ? List.of()
                : List.copyOf(removals.tailMap(knownVersion, false).values());
        return Optional.of(new EndpointsDelta(full, epoch, version, announced, removed));
    }

    /** Asks the daemon of an endpoint to drain; the request holds until the daemon restarts. */
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

    /**
     * Returns how long an endpoint has been absent from the table during this leadership; 0 until the table is
     * complete.
     */
    long absentMillis(long nowMillis, EndpointId endpoint) {
        if (rows.containsKey(endpoint) || completeSinceVersion == Long.MAX_VALUE) {
            return 0;
        }
        return nowMillis - removedMillis.getOrDefault(endpoint, startMillis + TIMEOUT_MILLIS);
    }

    List<LiveEndpoint> list() {
        return rows.values().stream()
                .map(r -> new LiveEndpoint(r.announcement, r.load, draining.containsKey(r.announcement.endpoint())))
                .toList();
    }

    /**
     * Restarts the timeouts of all endpoints after a pause of this process, such as a freeze of its VM, in which it
     * could not receive heartbeats.
     */
    private void restartTimeoutsAfterPause(long nowMillis) {
        if (nowMillis - lastAdvanceMillis > TIMEOUT_MILLIS / 2) {
            rows.values().forEach(row -> row.lastHeardMillis = nowMillis);
        }
        lastAdvanceMillis = nowMillis;
    }

    /** An endpoint as of its last heartbeat. */
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
