package org.cicadahead.entry;

import java.util.concurrent.atomic.AtomicInteger;
import org.cicadahead.model.EndpointId;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.Ping;
import org.cicadahead.protocol.Pong;
import org.cicadahead.protocol.Sync;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.wire.PeerClient;
import org.jboss.logging.Logger;

/** Synchronizes the configuration replica, the endpoint table and the configuration lease with control. Thread-safe. */
final class SyncLoop {
    /** Interval between syncs in milliseconds. */
    static final long INTERVAL_MILLIS = 500;

    private static final Logger LOG = Logger.getLogger("cicadahead.entry");
    /** Timeout of a sync in milliseconds. A reply that takes longer than the lease cannot renew it. */
    private static final long TIMEOUT_MILLIS = 2_000;
    /**
     * Maximum number of concurrent syncs. A hanging control replica must not prevent the next sync, but calls must not
     * accumulate.
     */
    private static final int MAX_IN_FLIGHT = 4;
    /** An endpoint that has not reported its load for this time, in milliseconds, is pinged. */
    private static final long STALE_LOAD_MILLIS = 2_000;

    private static final int MAX_PINGS = 4;

    private final DaemonInfo daemon;
    private final EntryContext context;
    private final AtomicInteger inFlight = new AtomicInteger();
    private boolean wasLeased;

    SyncLoop(DaemonInfo daemon, EntryContext context) {
        this.daemon = daemon;
        this.context = context;
    }

    /** Sends a sync. */
    void tick() {
        if (inFlight.incrementAndGet() > MAX_IN_FLIGHT) {
            inFlight.decrementAndGet();
            return;
        }
        long sentMillis = context.nowMillis();
        Sync sync = new Sync(
                daemon,
                context.replica().revision(),
                context.endpoints().epoch(),
                context.endpoints().version(),
                -1,
                context.replica().poisonVersion(),
                null,
                null);
        context.control()
                .call(sync, SyncReply.class, TIMEOUT_MILLIS)
                .whenCompleteAsync(
                        (reply, failure) -> {
                            inFlight.decrementAndGet();
                            if (failure == null) {
                                apply(reply, sentMillis);
                            }
                        },
                        context.workers());
        pingStaleEndpoints();
    }

    /** Logs changes of the configuration lease. When it expires, the running requests with a key are refused. */
    synchronized void checkLease() {
        boolean isLeased = context.isLeased();
        if (wasLeased && !isLeased) {
            LOG.warn("entry: The configuration lease has expired");
            context.flows().forEach(RequestFlow::recheck);
        } else if (!wasLeased && isLeased) {
            LOG.info("entry: Obtained the configuration lease");
        }
        wasLeased = isLeased;
    }

    private void apply(SyncReply reply, long sentMillis) {
        boolean changed = context.replica().apply(reply, sentMillis);
        if (reply.endpoints() != null) {
            context.endpoints().apply(reply.endpoints());
        }
        if (changed) {
            context.flows().forEach(RequestFlow::recheck);
        }
        checkLease();
    }

    private void pingStaleEndpoints() {
        for (Announcement announcement : context.endpoints().stale(STALE_LOAD_MILLIS, MAX_PINGS)) {
            PeerClient peer = context.endpoints().peer(announcement.address());
            EndpointId endpoint = announcement.endpoint();
            if (peer != null) {
                peer.call(new Ping(daemon.id()), INTERVAL_MILLIS).thenAccept(reply -> {
                    if (reply instanceof Pong pong) {
                        context.endpoints().report(endpoint, pong.load());
                    }
                });
            }
        }
    }
}
