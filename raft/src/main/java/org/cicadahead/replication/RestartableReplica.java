package org.cicadahead.replication;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Objects;
import org.jboss.logging.Logger;

/**
 * A replica that is restarted after it has failed, for example because of a failed disk write. Thread-safe; starts and
 * stops are mutually exclusive.
 *
 * <p>The owner calls {@link #restartIfFailed()} periodically, which bounds the rate of attempts. Each attempt opens the
 * files anew, so that the replica serves what it had synced to disk. Create one with
 * {@link #of(String, Path, Starter)}, then call {@link #start(boolean)}.
 */
public final class RestartableReplica implements Closeable {
    private static final Logger LOG = Logger.getLogger("cicadahead.raft");

    /** Removed at the next start if the process ends before it is deleted, like all files with this ending. */
    private static final String PROBE_FILE = "probe.tmp";

    private static final int PROBE_BYTES = 64 * 1024;

    private final String logPrefix;
    private final Path folder;
    private final Starter starter;
    private volatile ReplicatedNode node;
    private long failedSinceMillis = -1;
    private String lastProblem;
    private volatile boolean closed;

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

    private RestartableReplica(String logPrefix, Path folder, Starter starter) {
        this.logPrefix = Objects.requireNonNull(logPrefix, "The log prefix must not be null");
        this.folder = Objects.requireNonNull(folder, "The folder must not be null");
        this.starter = Objects.requireNonNull(starter, "The starter must not be null");
    }

    /**
     * Returns a replica that has not been started.
     *
     * @param logPrefix the prefix of its log lines
     * @param folder the data folder, whose free space the log lines show
     * @param starter starts the replica
     * @return the replica
     */
    public static RestartableReplica of(String logPrefix, Path folder, Starter starter) {
        return new RestartableReplica(logPrefix, folder, starter);
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

    /**
     * Returns whether the replica has failed and has not been restarted since, for use as a gauge.
     *
     * @return 1 if it has failed, 0 if it is running or was never started
     */
    public int out() {
        ReplicatedNode current = node;
        return current != null && current.failure() != null ? 1 : 0;
    }

    /** Restarts the replica if it has failed, with the data that it had synced to disk. */
    public synchronized void restartIfFailed() {
        if (closed || node == null || node.failure() == null) {
            return;
        }
        long now = ReplicatedNode.monotonicMillis();
        if (failedSinceMillis < 0) {
            failedSinceMillis = now;
            lastProblem = node.failure().getMessage();
        }
        LOG.warnf(
                "%s: The replica has been out for %d ms and is being restarted, %s bytes free: %s",
                logPrefix, now - failedSinceMillis, freeBytes(), lastProblem);
        try {
            node.close();
            if (!node.isTerminated()) {
                throw new ReplicationException(false, "threads of the failed replica still use its files", null);
            }
            probe();
            node = starter.start(false);
            LOG.infof(
                    "%s: Replica %s serves again after %d ms",
                    logPrefix, node.id(), ReplicatedNode.monotonicMillis() - failedSinceMillis);
            failedSinceMillis = -1;
        } catch (IOException | ReplicationException | RuntimeException e) {
            lastProblem = String.valueOf(e.getMessage());
            LOG.warnf("%s: Could not restart the replica: %s", logPrefix, lastProblem);
        }
    }

    /**
     * Transfers leadership and stops. Waits for a restart that is in progress; no further one begins.
     *
     * @param timeoutMillis the maximum time to wait for a new leader, in milliseconds
     */
    public void shutdown(long timeoutMillis) {
        closed = true;
        ReplicatedNode current;
        synchronized (this) {
            current = node;
        }
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

    /** Checks that the storage takes writes, so that a replica on a full disk stays out. */
    private void probe() throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(PROBE_FILE);
        try (FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.allocate(PROBE_BYTES);
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        } finally {
            Files.deleteIfExists(file);
        }
    }

    private String freeBytes() {
        try {
            return String.valueOf(Files.getFileStore(folder).getUsableSpace());
        } catch (IOException e) {
            return "unknown";
        }
    }
}
