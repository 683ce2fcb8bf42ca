package org.cicadahead.control;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.operator.AdminException;
import org.cicadahead.operator.AdminProblem;
import org.cicadahead.operator.AdminServer;
import org.cicadahead.operator.MemberView;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.replication.ReplicatedLog;
import org.cicadahead.wire.PeerHandler;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * The control role of a daemon. Safe for use by several threads.
 *
 * <p>The first use is {@link #start(ControlConfig, MetricRegistry)}.
 */
public final class ControlNode implements Node {
    private static final Logger LOG = Logger.getLogger("cicadahead.control");
    private static final String HISTORY_FOLDER = "history";

    private final ReplicatedLog log;
    private final HistoryStore histories;
    private final ExecutorService workers;
    private final ScheduledExecutorService timer;
    private final PeerServer server;
    private final AdminServer admin;
    private volatile boolean stopped;

    private ControlNode(
            ReplicatedLog log,
            HistoryStore histories,
            ExecutorService workers,
            ScheduledExecutorService timer,
            PeerServer server,
            AdminServer admin) {
        this.log = log;
        this.histories = histories;
        this.workers = workers;
        this.timer = timer;
        this.server = server;
        this.admin = admin;
    }

    /**
     * Starts the role.
     *
     * @param config the settings
     * @param metrics takes the counters
     * @return the running role
     * @throws NodeException if the data folder cannot be used or an address cannot be bound
     */
    public static ControlNode start(ControlConfig config, MetricRegistry metrics) throws NodeException {
        Objects.requireNonNull(config, "The config must not be null");
        Objects.requireNonNull(metrics, "The metrics must not be null");
        HistoryStore histories;
        try {
            histories = HistoryStore.open(config.dataFolder().resolve(HISTORY_FOLDER), HistoryStore.SEGMENT_BYTES);
        } catch (IOException e) {
            throw new NodeException("cannot use the data folder", e);
        }
        ExecutorService workers = Executors.newFixedThreadPool(config.workers(), named("control-worker"));
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(named("control-timer"));
        try {
            return start(config, metrics, histories, workers, timer);
        } catch (WireException e) {
            workers.shutdownNow();
            timer.shutdownNow();
            throw new NodeException("cannot serve daemons on " + config.listen(), e);
        }
    }

    /**
     * Returns the port at which other daemons reach this replica.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the port at which operators reach this replica.
     *
     * @return the port
     */
    public int adminPort() {
        return admin.port();
    }

    @Override
    public boolean isReady() {
        return !stopped
                && (log.holdsLease(monotonicMillis()) || !log.leaderAddress().isEmpty());
    }

    @Override
    public void shutdown(long timeoutMillis) {
        stopped = true;
        timer.shutdownNow();
        admin.stop();
        server.close();
        workers.shutdown();
        try {
            if (!workers.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
                workers.shutdownNow();
            }
        } catch (InterruptedException e) {
            workers.shutdownNow();
            Thread.currentThread().interrupt();
        }
        try {
            histories.close();
        } catch (IOException e) {
            LOG.warnf(e, "control: Cannot close the histories");
        }
        LOG.info("control: Stopped");
    }

    private static ControlNode start(
            ControlConfig config,
            MetricRegistry metrics,
            HistoryStore histories,
            ExecutorService workers,
            ScheduledExecutorService timer)
            throws NodeException, WireException {
        MessageCatalog catalog = MessageCatalog.standard().with(List.of(FindAdmin.class, AdminAddress.class));
        ControlStateMachine machine = new ControlStateMachine(histories);
        ReplicatedLog log = new SingleNodeLog(machine, config.daemon().address());
        Leadership leadership = new Leadership(log, ControlNode::monotonicMillis);
        ControlService service =
                new ControlService(log, machine, histories, leadership, new ControlMetrics(metrics), workers);
        PeerServer server = PeerServer.start(config.listen(), catalog, workers, handler(config, service));
        AdminServer admin;
        try {
            admin = AdminServer.start(
                    config.adminListen(),
                    config.adminToken(),
                    new ControlAdmin(service, machine, leadership, single(config), catalog),
                    metrics);
        } catch (NodeException e) {
            server.close();
            throw e;
        }
        timer.scheduleWithFixedDelay(
                new Housekeeping(service, machine, leadership, System::currentTimeMillis),
                0,
                Housekeeping.INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        LOG.infof("control: Started on port %d, operators on port %d", server.port(), admin.port());
        return new ControlNode(log, histories, workers, timer, server, admin);
    }

    private static PeerHandler handler(ControlConfig config, ControlService service) {
        return (Message request, Responder responder) -> {
            if (request instanceof FindAdmin) {
                responder.reply(new AdminAddress(config.adminAddress()));
            } else {
                service.handle(request, responder);
            }
        };
    }

    private static Replicas single(ControlConfig config) {
        return new Replicas() {
            @Override
            public List<MemberView> list() {
                return List.of(new MemberView("single", config.daemon().address(), true, true));
            }

            @Override
            public CompletableFuture<Void> add(String replica, String address) {
                return CompletableFuture.failedFuture(
                        new AdminException(AdminProblem.MEMBERS_REFUSED, "this is a group of one"));
            }

            @Override
            public CompletableFuture<Void> remove(String replica) {
                return add(replica, "");
            }
        };
    }

    private static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static ThreadFactory named(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
