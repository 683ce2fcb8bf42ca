package org.cicadahead.control;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.Executor;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.replication.RestartableReplica;
import org.jboss.logging.Logger;

/**
 * The replica of control, which is restarted after it has failed. Each start rebuilds the tables and histories from the
 * snapshot and the log. Thread-safe; starts and stops are mutually exclusive, and {@link #current()} takes no lock.
 */
final class ControlReplica implements Closeable {
    private static final Logger LOG = Logger.getLogger("cicadahead.control");
    private static final String HISTORY_FOLDER = "history";

    private final ControlConfig config;
    private final ReplicationConfig replication;
    private final MessageCatalog catalog;
    private final ControlMetrics metrics;
    private final Executor workers;
    private final RestartableReplica replica;
    private volatile ControlInstance current;

    ControlReplica(
            ControlConfig config,
            ReplicationConfig replication,
            MessageCatalog catalog,
            ControlMetrics metrics,
            Executor workers) {
        this.config = config;
        this.replication = replication;
        this.catalog = catalog;
        this.metrics = metrics;
        this.workers = workers;
        this.replica = RestartableReplica.of("control", replication.folder(), this::startInstance);
    }

    void start() throws ReplicationException {
        replica.start(replication.bootstrap());
    }

    /** Returns the latest instance, whose replica may have failed. Valid after {@link #start()}. */
    ControlInstance current() {
        return current;
    }

    boolean isRunning() {
        return replica.isRunning();
    }

    int out() {
        return replica.out();
    }

    void restartIfFailed() {
        replica.restartIfFailed();
    }

    void shutdown(long timeoutMillis) {
        replica.shutdown(timeoutMillis);
    }

    @Override
    public void close() {
        replica.close();
        closeHistories(current);
    }

    /** Called under the lock of the restartable replica, after the previous replica was closed. */
    private ReplicatedNode startInstance(boolean bootstrap) throws ReplicationException {
        closeHistories(current);
        HistoryStore histories = openHistories();
        ControlStateMachine machine = new ControlStateMachine(histories);
        ReplicatedNode log;
        try {
            log = ReplicatedNode.start(replication.withBootstrap(bootstrap), machine, catalog);
        } catch (ReplicationException | RuntimeException e) {
            close(histories);
            throw e;
        }
        Leadership leadership = new Leadership(log, ReplicatedNode::monotonicMillis);
        ControlService service = new ControlService(log, machine, histories, leadership, metrics, workers);
        current = new ControlInstance(
                log,
                histories,
                service,
                new ControlAdmin(service, machine, leadership, new ReplicatedGroupMembership(log), catalog),
                new Housekeeping(service, machine, leadership, System::currentTimeMillis));
        return log;
    }

    private HistoryStore openHistories() throws ReplicationException {
        try {
            return HistoryStore.open(config.dataFolder().resolve(HISTORY_FOLDER), HistoryStore.SEGMENT_BYTES);
        } catch (IOException e) {
            throw new ReplicationException(false, "cannot open the histories: " + e, e);
        }
    }

    private static void closeHistories(ControlInstance instance) {
        if (instance != null) {
            close(instance.histories());
        }
    }

    private static void close(HistoryStore histories) {
        try {
            histories.close();
        } catch (IOException e) {
            LOG.warnf(e, "control: Cannot close the histories");
        }
    }
}
