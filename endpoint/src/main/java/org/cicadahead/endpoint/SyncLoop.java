package org.cicadahead.endpoint;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadahead.model.EndpointState;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndedDelta;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.Sync;
import org.cicadahead.protocol.SyncReply;
import org.jboss.logging.Logger;

/** Sends heartbeats that announce the endpoint to control, and applies the replies. Thread-safe. */
final class SyncLoop {
    /** The interval between two heartbeats, in milliseconds. */
    static final long INTERVAL_MILLIS = 500;

    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    private static final long TIMEOUT_MILLIS = 1_500;

    private final EndpointConfig config;
    private final String address;
    private final ControlPort control;
    private final PoisonTableReplica poisonTable;
    private final Delegate delegate;
    private final AtomicBoolean syncing = new AtomicBoolean();
    private volatile boolean syncAgain;
    private volatile long leaseEndNanos = System.nanoTime();
    private volatile long configurationRevision;
    private volatile long endpointsEpoch;
    private volatile long endpointsVersion;
    /** Version of the list of ended programs, or -1 if the endpoint has no cache and does not need the list. */
    private volatile long endedVersion;

    /** Provides the state to announce and receives the contents of the replies. */
    interface Delegate {
        EndpointState state();

        EndpointLoad load();

        void programsEnded(EndedDelta delta);

        void draining(boolean draining);
    }

    SyncLoop(
            EndpointConfig config,
            String address,
            ControlPort control,
            PoisonTableReplica poisonTable,
            Delegate delegate) {
        this.config = config;
        this.address = address;
        this.control = control;
        this.poisonTable = poisonTable;
        this.delegate = delegate;
        this.endedVersion = config.kind().cachesPrefixes() ? 0 : -1;
    }

    /** Returns whether the configuration lease, which each reply of control renews, is still valid. */
    boolean hasLease() {
        return leaseEndNanos - System.nanoTime() > 0;
    }

    /** Sends one heartbeat. If one is in progress, another follows it. */
    void syncNow() {
        if (!syncing.compareAndSet(false, true)) {
            syncAgain = true;
            return;
        }
        syncAgain = false;
        long sentNanos = System.nanoTime();
        control.call(sync(announcement()), SyncReply.class, TIMEOUT_MILLIS).whenComplete((reply, failure) -> {
            if (failure == null) {
                apply(reply, sentNanos);
            } else {
                LOG.debugf("endpoint: Sync with control failed: %s", failure.getMessage());
            }
            syncing.set(false);
            if (syncAgain) {
                syncNow();
            }
        });
    }

    /** Tells control that the endpoint has stopped, so that control need not detect it by missed heartbeats. */
    void withdraw() {
        control.call(sync(null), SyncReply.class, INTERVAL_MILLIS);
    }

    private Sync sync(Announcement announcement) {
        return new Sync(
                config.daemon(),
                configurationRevision,
                endpointsEpoch,
                endpointsVersion,
                endedVersion,
                poisonTable.version(),
                announcement,
                announcement == null ? null : delegate.load());
    }

    private Announcement announcement() {
        return new Announcement(
                config.endpoint(),
                config.daemon().generation(),
                config.kind(),
                config.pools(),
                config.models(),
                config.daemon().zone(),
                address,
                delegate.state(),
                config.capacity());
    }

    private void apply(SyncReply reply, long sentNanos) {
        leaseEndNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(reply.leaseMillis());
        if (reply.configuration() != null) {
            // An endpoint does not use the configuration, but reports the last revision that it has received.
            configurationRevision =
                    Math.max(configurationRevision, reply.configuration().revision());
        }
        if (reply.endpoints() != null) {
            endpointsEpoch = reply.endpoints().epoch();
            endpointsVersion = reply.endpoints().version();
        }
        if (reply.ended() != null && endedVersion >= 0) {
            delegate.programsEnded(reply.ended());
            endedVersion = reply.ended().version();
        }
        if (reply.poison() != null) {
            poisonTable.replace(reply.poison());
        }
        delegate.draining(reply.draining());
    }
}
