package org.cicadahead.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cicadahead.model.DaemonId;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.Sync;

/** The daemons that the leader hears of, for the status. Not safe for use by several threads. */
final class DaemonTable {
    /** A daemon that is silent for this long is no longer listed, in milliseconds. */
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
     * A daemon as it last reported.
     *
     * @param info the daemon
     * @param configurationRevision the revision that it applies
     * @param lastHeardMillis when it reported
     */
    record LiveDaemon(DaemonInfo info, long configurationRevision, long lastHeardMillis) {}
}
