package org.cicadahead.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cicadahead.model.DaemonId;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.Sync;

/** The daemons that send heartbeats to the leader, for the fleet status. Not thread-safe. */
final class DaemonTable {
    /** A daemon without a heartbeat for longer than this is no longer listed, in milliseconds. */
    static final long RETENTION_MILLIS = 60_000;

    private final Map<DaemonId, LiveDaemon> daemons = new TreeMap<>();

    void recordSync(long nowMillis, Sync sync) {
        daemons.put(sync.daemon().id(), new LiveDaemon(sync.daemon(), sync.configurationRevision(), nowMillis));
    }

    List<LiveDaemon> list(long nowMillis) {
        daemons.values().removeIf(d -> nowMillis - d.lastHeardMillis() > RETENTION_MILLIS);
        return List.copyOf(daemons.values());
    }

    /**
     * A daemon as of its last heartbeat.
     *
     * @param info the daemon
     * @param configurationRevision the revision that it applies
     * @param lastHeardMillis when its last heartbeat arrived
     */
    record LiveDaemon(DaemonInfo info, long configurationRevision, long lastHeardMillis) {}
}
