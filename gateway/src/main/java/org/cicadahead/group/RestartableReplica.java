package org.cicadahead.group;

import java.io.Closeable;
import java.util.Objects;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationException;
import org.jboss.logging.Logger;

/**
 * A replica that is restarted after it has failed, for example because of a failed disk write. Thread-safe; starts and
 * stops are mutually exclusive.
 *
 * <p>The owner calls {@link #restartIfFailed()} periodically. Create one with {@link #of(String, Starter)}, then call
 * {@link #start(boolean)}.
 */
public final class RestartableReplica implements Closeable {
    private static final Logger LOG = Logger.getLogger("cicadahead.group");

    private final String logPrefix;
    private final Starter starter;
    private volatile ReplicatedNode node;
    private boolean closed;

    /** Starts a replica with a new state machine and begins to serve with it. */
    public interface Starter {

        /**
         * Starts a replica.
         *
         * @param bootstrap whether the replica may bootstrap the group
         * @return the replica
         * @throws ReplicationException if it cannot start
         */
        ReplicatedNode start(boolean bootstrap) throws ReplicationException;
    }

    private RestartableReplica(String logPrefix, Starter starter) {
        this.logPrefix = Objects.requireNonNull(logPrefix, "The log prefix must not be null");
        this.starter = Objects.requireNonNull(starter, "The starter must not be null");
    }

    /**
     * Returns a replica that has not been started.
     *
     * @param logPrefix the prefix of its log lines
     * @param starter starts the replica
     * @return the replica
     */
    public static RestartableReplica of(String logPrefix, Starter starter) {
        return new RestartableReplica(logPrefix, starter);
    }

    /**
     * Starts the replica.
     *
     * @param bootstrap whether the replica may bootstrap the group
     * @throws ReplicationException if it cannot start
     */
    public synchronized void start(boolean bootstrap) throws ReplicationException {
        node = starter.start(bootstrap);
    }

    /**
     * Returns the current replica, which may have failed.
     *
     * @return the replica, or null if none has been started
     */
    public ReplicatedNode node() {
        return node;
    }

    /**
     * Returns whether the replica is running.
     *
     * @return true if it has been started and has not failed
     */
    public boolean isRunning() {
        ReplicatedNode current = node;
        return current != null && current.failure() == null;
    }

    /** Restarts the replica if it has failed, with the data that it had synced to disk. */
    public synchronized void restartIfFailed() {
        if (closed || node == null || node.failure() == null) {
            return;
        }
        LOG.warnf(
                "%s: The replica has stopped and is being restarted: %s",
                logPrefix, node.failure().getMessage());
        node.close();
        try {
            node = starter.start(false);
        } catch (ReplicationException e) {
            LOG.warnf("%s: Could not restart the replica: %s", logPrefix, e.getMessage());
        }
    }

    /**
     * Transfers leadership and stops.
     *
     * @param timeoutMillis the maximum time to wait for a new leader, in milliseconds
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
