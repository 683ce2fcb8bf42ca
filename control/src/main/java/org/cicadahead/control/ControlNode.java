package org.cicadahead.control;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.operator.AdminServer;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.wire.PeerHandler;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * The control role of a daemon. Thread-safe.
 *
 * <p>Instances are created by {@link #start(ControlConfig, MetricRegistry)}.
 */
public final class ControlNode implements Node {
    private static final Logger LOG = Logger.getLogger("cicadahead.control");
    private static final String HISTORY_FOLDER = "history";
    private static final String LOG_FOLDER = "log";

    private final Components components;
    private volatile boolean stopped;

    private ControlNode(Components components) {
        this.components = components;
    }

    /**
     * Starts the role.
     *
     * @param config the configuration
     * @param metrics the registry of the counters
     * @return the running role
     * @throws NodeException if the data folder cannot be used or an address cannot be bound
     */
    public static ControlNode start(ControlConfig config, MetricRegistry metrics) throws NodeException {
        Objects.requireNonNull(config, "The config must not be null");
        return start(
                config,
                metrics,
                ReplicationConfig.of(
                        config.dataFolder().resolve(LOG_FOLDER),
                        config.daemon().address(),
                        config.initialMembers(),
                        config.bootstrap()));
    }

    static ControlNode start(ControlConfig config, MetricRegistry metrics, ReplicationConfig replication)
            throws NodeException {
        Objects.requireNonNull(metrics, "The metrics must not be null");
        Components components = new Components(config);
        try {
            return components.start(config, metrics, replication);
        } catch (IOException e) {
            components.close();
            throw new NodeException("cannot use the data folder", e);
        } catch (ReplicationException e) {
            components.close();
            throw new NodeException("cannot start the replica", e);
        } catch (WireException e) {
            components.close();
            throw new NodeException("cannot serve daemons on " + config.listen(), e);
        } catch (NodeException e) {
            components.close();
            throw e;
        }
    }

    /**
     * Returns the port at which other daemons reach this replica.
     *
     * @return the port
     */
    public int port() {
        return components.server.port();
    }

    /**
     * Returns the port at which operators reach this replica.
     *
     * @return the port
     */
    public int adminPort() {
        return components.admin.port();
    }

    /**
     * Returns the id of this replica in the group.
     *
     * @return the replica id
     */
    public String replicaId() {
        return components.log.id().value();
    }

    @Override
    public boolean isReady() {
        return !stopped
                && components.log.failure() == null
                && !components.log.leaderAddress().isEmpty();
    }

    /**
     * Transfers leadership to another replica, then stops.
     *
     * @param timeoutMillis how long to wait for a successor, and then for the requests in progress, in milliseconds
     */
    @Override
    public void shutdown(long timeoutMillis) {
        stopped = true;
        components.timer.shutdownNow();
        components.log.shutdown(timeoutMillis);
        components.workers.shutdown();
        try {
            components.workers.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        components.close();
        LOG.info("control: Stopped");
    }

    /** The components of a node, in the order in which they are started. */
    private static final class Components {
        private final ExecutorService workers;
        private final ScheduledExecutorService timer;
        private HistoryStore histories;
        private ReplicatedNode log;
        private PeerServer server;
        private AdminServer admin;

        Components(ControlConfig config) {
            workers = Executors.newFixedThreadPool(config.workers(), DaemonThreads.named("control-worker"));
            timer = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("control-timer"));
        }

        ControlNode start(ControlConfig config, MetricRegistry metrics, ReplicationConfig replication)
                throws IOException, ReplicationException, WireException, NodeException {
            MessageCatalog catalog = ReplicatedNode.catalog(
                    MessageCatalog.standard().with(List.of(FindAdmin.class, AdminAddress.class)));
            histories = HistoryStore.open(config.dataFolder().resolve(HISTORY_FOLDER), HistoryStore.SEGMENT_BYTES);
            ControlStateMachine machine = new ControlStateMachine(histories);
            log = ReplicatedNode.start(replication, machine, catalog);
            Leadership leadership = new Leadership(log, ReplicatedNode::monotonicMillis);
            ControlMetrics counters = new ControlMetrics(metrics);
            counters.registerGauges(log::counters);
            ControlService service = new ControlService(log, machine, histories, leadership, counters, workers);
            server = PeerServer.start(config.listen(), catalog, workers, handler(config, service));
            ControlAdmin backend =
                    new ControlAdmin(service, machine, leadership, new ReplicatedGroupMembership(log), catalog);
            admin = AdminServer.start(config.adminListen(), config.adminToken(), backend, metrics);
            timer.scheduleWithFixedDelay(
                    new Housekeeping(service, machine, leadership, System::currentTimeMillis),
                    0,
                    Housekeeping.INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            LOG.infof(
                    "control: Replica %s started on port %d, operators on port %d",
                    log.id(), server.port(), admin.port());
            return new ControlNode(this);
        }

        void close() {
            timer.shutdownNow();
            if (admin != null) {
                admin.stop();
            }
            if (server != null) {
                server.close();
            }
            if (log != null) {
                log.close();
            }
            workers.shutdownNow();
            try {
                if (histories != null) {
                    histories.close();
                }
            } catch (IOException e) {
                LOG.warnf(e, "control: Cannot close the histories");
            }
        }

        private PeerHandler handler(ControlConfig config, ControlService service) {
            return (Message request, Responder responder) -> {
                if (ReplicatedNode.handles(request)) {
                    log.handle(request, responder);
                } else if (request instanceof FindAdmin) {
                    responder.reply(new AdminAddress(config.adminAddress()));
                } else {
                    service.handle(request, responder);
                }
            };
        }
    }
}
