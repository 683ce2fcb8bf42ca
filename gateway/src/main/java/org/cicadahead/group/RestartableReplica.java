package org.cicadahead.group;

import java.io.Closeable;
import java.util.Objects;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationException;
import org.jboss.logging.Logger;

/**
 * A replica that is started again after it has stopped by itself, as when its disk refused a write. Safe for use by
 * several threads; starts and stops exclude each other.
 *
 * <p>The owner calls {@link #restartIfFailed()} from time to time. The first use is {@link #of(String, Starter)} and
 * then {@link #start(boolean)}.
 */
public final class RestartableReplica implements Closeable {
    private static final Logger LOG = Logger.getLogger("cicadahead.group");

    private final String part;
    private final Starter starter;
    private volatile ReplicatedNode node;
    private boolean closed;

    /** Starts a replica with a fresh state machine and begins to serve with it. */
    public interface Starter {

        /**
         * Starts a replica.
         *
         * @param founds whether it may found the group
         * @return the replica
         * @throws ReplicationException if it cannot start
         */
        ReplicatedNode start(boolean founds) throws ReplicationException;
    }

    private RestartableReplica(String part, Starter starter) {
        this.part = Objects.requireNonNull(part, "The part must not be null");
        this.starter = Objects.requireNonNull(starter, "The starter must not be null");
    }

    /**
     * Returns a replica that is not started yet.
     *
     * @param part the prefix of its log lines
     * @param starter starts it
     * @return the replica
     */
    public static RestartableReplica of(String part, Starter starter) {
        return new RestartableReplica(part, starter);
    }

    /**
     * Starts the replica.
     *
     * @param founds whether it may found the group
     * @throws ReplicationException if it cannot start
     */
    public synchronized void start(boolean founds) throws ReplicationException {
        node = starter.start(founds);
    }

    /**
     * Returns the replica that runs, or ran last.
     *
     * @return the replica, or null if none was started
     */
    public ReplicatedNode node() {
        return node;
    }

    /**
     * Returns whether a replica runs.
     *
     * @return true if one was started and has not stopped by itself
     */
    public boolean isRunning() {
        ReplicatedNode current = node;
        return current != null && current.failure() == null;
    }

    /** Starts the replica again if it has stopped by itself; what it had synced is still there. */
    public synchronized void restartIfFailed() {
        if (closed || node == null || node.failure() == null) {
            return;
        }
        LOG.warnf(
                "%s: The replica has stopped and is started again: %s",
                part, node.failure().getMessage());
        node.close();
        try {
            node = starter.start(false);
        } catch (ReplicationException e) {
            LOG.warnf("%s: The replica cannot start yet: %s", part, e.getMessage());
        }
    }

    /**
     * Hands leadership over and stops.
     *
     * @param timeoutMillis how long to wait for a successor, in milliseconds
     */
    public void shutdown(long timeoutMillis) {
        ReplicatedNode current = node;
        if (current != null) {
            current.shutdown(timeoutMillis);
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        if (node != null) {
            node.close();
        }
    }
}
