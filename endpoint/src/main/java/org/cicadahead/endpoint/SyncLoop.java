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

/** Announces the endpoint to control and takes what control has to say. Safe for use by several threads. */
final class SyncLoop {
    /** How often control is called, in milliseconds. */
    static final long INTERVAL_MILLIS = 500;

    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    private static final long TIMEOUT_MILLIS = 1_500;

    private final EndpointConfig config;
    private final String address;
    private final ControlPort control;
    private final PoisonTableReplica poison;
    private final Delegate delegate;
    private final AtomicBoolean calling = new AtomicBoolean();
    private volatile boolean callAgain;
    private volatile long leaseEndNanos = System.nanoTime();
    private volatile long configurationRevision;
    private volatile long endpointsEpoch;
    private volatile long endpointsVersion;
    private volatile long endedVersion;

    /** What is announced, and who is told about the replies. */
    interface Delegate {
        EndpointState state();

        EndpointLoad load();

        void ended(EndedDelta delta);

        void draining(boolean draining);
    }

    SyncLoop(EndpointConfig config, String address, ControlPort control, PoisonTableReplica poison, Delegate delegate) {
        this.config = config;
        this.address = address;
        this.control = control;
        this.poison = poison;
        this.delegate = delegate;
        this.endedVersion = config.kind().cachesPrefixes() ? 0 : -1;
    }

    /** Returns whether control has been heard from within the configuration lease. */
    boolean hasLease() {
        return leaseEndNanos - System.nanoTime() > 0;
    }

    /** Calls control once, or once more after the call under way. */
    void call() {
        if (!calling.compareAndSet(false, true)) {
            callAgain = true;
            return;
        }
        callAgain = false;
        long sentNanos = System.nanoTime();
        control.call(sync(announcement()), SyncReply.class, TIMEOUT_MILLIS).whenComplete((reply, failure) -> {
            if (failure == null) {
                apply(reply, sentNanos);
            } else {
                LOG.debugf("endpoint: Control does not answer: %s", failure.getMessage());
            }
            calling.set(false);
            if (callAgain) {
                call();
            }
        });
    }

    /** Tells control that the endpoint is gone, so that it need not wait for its silence. */
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
                poison.version(),
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
            // The daemon has no use for the resources, but reports how far it has followed.
            configurationRevision =
                    Math.max(configurationRevision, reply.configuration().revision());
        }
        if (reply.endpoints() != null) {
            endpointsEpoch = reply.endpoints().epoch();
            endpointsVersion = reply.endpoints().version();
        }
        if (reply.ended() != null && endedVersion >= 0) {
            delegate.ended(reply.ended());
            endedVersion = reply.ended().version();
        }
        if (reply.poison() != null) {
            poison.replace(reply.poison());
        }
        delegate.draining(reply.draining());
    }
}
