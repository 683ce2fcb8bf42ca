package org.cicadahead.control;

import com.codahale.metrics.MetricRegistry;
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
    private static final String LOG_FOLDER = "log";
    /** The interval at which the replica is checked and, if it has failed, restarted, in milliseconds. */
    private static final long RESTART_MILLIS = 500;

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
        Components components = new Components(config, metrics, replication);
        try {
            return components.start(config, metrics);
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
        return components.replica.current().log().id().value();
    }

    @Override
    public boolean isReady() {
        return !stopped
                && components.replica.isRunning()
                && !components.replica.current().log().leaderAddress().isEmpty();
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
        components.replica.shutdown(timeoutMillis);
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
        private final MessageCatalog catalog =
                ReplicatedNode.catalog(MessageCatalog.standard().with(List.of(FindAdmin.class, AdminAddress.class)));
        private final ControlMetrics counters;
        private final ControlReplica replica;
        private PeerServer server;
        private AdminServer admin;

        Components(ControlConfig config, MetricRegistry metrics, ReplicationConfig replication) {
            workers = Executors.newFixedThreadPool(config.workers(), DaemonThreads.named("control-worker"));
            timer = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("control-timer"));
            counters = new ControlMetrics(metrics);
            replica = new ControlReplica(config, replication, catalog, counters, workers);
        }

        ControlNode start(ControlConfig config, MetricRegistry metrics)
                throws ReplicationException, WireException, NodeException {
            replica.start();
            counters.registerGauges(() -> replica.current().log().counters(), replica::out);
            server = PeerServer.start(config.listen(), catalog, workers, handler(config));
            admin = AdminServer.start(
                    config.adminListen(),
                    config.adminToken(),
                    () -> replica.current().admin(),
                    metrics);
            timer.scheduleWithFixedDelay(
                    () -> replica.current().housekeeping().run(),
                    0,
                    Housekeeping.INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            timer.scheduleWithFixedDelay(
                    replica::restartIfFailed, RESTART_MILLIS, RESTART_MILLIS, TimeUnit.MILLISECONDS);
            LOG.infof(
                    "control: Replica %s started on port %d, operators on port %d",
                    replica.current().log().id(), server.port(), admin.port());
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
            replica.close();
            workers.shutdownNow();
        }

        private PeerHandler handler(ControlConfig config) {
            return (Message request, Responder responder) -> {
                ControlInstance instance = replica.current();
                if (ReplicatedNode.handles(request)) {
                    instance.log().handle(request, responder);
                } else if (request instanceof FindAdmin) {
                    responder.reply(new AdminAddress(config.adminAddress()));
                } else {
                    instance.service().handle(request, responder);
                }
            };
        }
    }
}
