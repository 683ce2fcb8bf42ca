package org.cicadahead.endpoint;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadahead.crash.CrashAttribution;
import org.cicadahead.engine.EngineClient;
import org.cicadahead.engine.EngineStatus;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.protocol.ClearSuspects;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.CrashReport;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EndedDelta;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.Ping;
import org.cicadahead.protocol.Pong;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;
import org.cicadahead.service.ServiceClient;
import org.cicadahead.wire.ControlClient;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;
import org.eclipse.jetty.client.HttpClient;
import org.jboss.logging.Logger;

/**
 * The node for the endpoint role. Its daemon runs next to one engine or service. Thread-safe.
 *
 * <p>A node is started by {@link #start(EndpointConfig, MetricRegistry)} and stopped by {@link #shutdown(long)}.
 */
public final class EndpointNode implements Node {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    /** The organisation of requests on open routes, which are accepted without a configuration lease. */
    private static final String OPEN_ORGANISATION = "open";

    private static final long WORKER_IDLE_SECONDS = 10;
    private static final long TICK_MILLIS = 100;
    private static final long BACKEND_TICK_MILLIS = 250;
    private static final long SHUTDOWN_POLL_MILLIS = 20;
    /** How long the node refuses late requests after it has withdrawn from control, in milliseconds. */
    private static final long LINGER_MILLIS = 100;

    private final EndpointConfig config;
    private final MetricRegistry metrics;
    private final ThreadPoolExecutor workers;
    private final ScheduledThreadPoolExecutor timer;
    private final ControlClient control;
    private final HttpClient http;
    private final PoisonTableReplica poisonTable = new PoisonTableReplica();
    private final ClaimClient claims;
    private final Backend backend;
    private final CacheManager cache;
    private final RunDispatcher dispatcher;
    private final Set<RequestDigest> pendingClears = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private PeerServer server;
    private SyncLoop sync;
    private volatile boolean draining;
    private volatile boolean leaving;

    private EndpointNode(EndpointConfig config, MetricRegistry metrics) throws NodeException {
        this.config = config;
        this.metrics = metrics;
        this.workers = newWorkers(config.workers());
        this.timer = newTimer();
        this.control = ControlClient.to(config.control(), MessageCatalog.standard());
        this.http = HttpClients.start("endpoint-http");
        ControlPort controlPort = control::call;
        this.claims =
                new ClaimClient(controlPort, config.endpoint(), config.daemon().generation(), timer);
        if (config.kind().cachesPrefixes()) {
            EngineClient engine = EngineClient.to(http, config.target());
            this.backend = new EngineBackend(engine, new StatusListener(), metrics);
            this.cache = new CacheManager(engine, controlPort, metrics, RunDispatcher.nowMillis());
        } else {
            this.backend = new ServiceBackend(ServiceClient.to(http, config.target()), config.target(), workers);
            this.cache = null;
        }
        this.dispatcher = new RunDispatcher(config, metrics, poisonTable, new Context());
    }

    /**
     * Starts a node.
     *
     * @param config the configuration
     * @param metrics the registry of the node's metrics
     * @return the running node
     * @throws NodeException if the node cannot listen or its HTTP client cannot start
     */
    public static EndpointNode start(EndpointConfig config, MetricRegistry metrics) throws NodeException {
        EndpointNode node = new EndpointNode(config, metrics);
        try {
            node.server = PeerServer.start(config.listen(), MessageCatalog.standard(), node.workers, node::handle);
        } catch (WireException e) {
            node.close();
            throw new NodeException("cannot listen for connections of other daemons", e);
        }
        node.startTasks();
        return node;
    }

    /**
     * Returns the port that the node listens on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    @Override
    public boolean isReady() {
        return state().acceptsWork() && sync.hasLease();
    }

    @Override
    public void shutdown(long timeoutMillis) {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        leaving = true;
        LOG.infof("endpoint: %s is shutting down with %d open runs", config.endpoint(), dispatcher.openRuns());
        sync.syncNow();
        CountDownLatch idle = new CountDownLatch(1);
        TimerTasks.repeat(timer, () -> countDownWhenIdle(idle), SHUTDOWN_POLL_MILLIS);
        try {
            if (!idle.await(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                LOG.warnf("endpoint: The shutdown timeout has passed; cancelling %d runs", dispatcher.openRuns());
                dispatcher.cancelAll();
            }
            sync.withdraw();
            workers.awaitTermination(LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    private static ThreadPoolExecutor newWorkers(int count) {
        // When the queue is full, the threads that read from connections run the tasks themselves. This bounds the
        // number of requests held in memory.
        ThreadPoolExecutor workers = new ThreadPoolExecutor(
                count,
                count,
                WORKER_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(count),
                DaemonThreads.named("endpoint-worker"),
                new ThreadPoolExecutor.CallerRunsPolicy());
        workers.allowCoreThreadTimeOut(true);
        return workers;
    }

    private static ScheduledThreadPoolExecutor newTimer() {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, DaemonThreads.named("endpoint-timer"));
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    private void startTasks() {
        sync = new SyncLoop(config, address(), control::call, poisonTable, new Delegate());
        TimerTasks.repeat(timer, sync::syncNow, SyncLoop.INTERVAL_MILLIS);
        TimerTasks.repeat(timer, backend::tick, BACKEND_TICK_MILLIS);
        TimerTasks.repeat(timer, this::tick, TICK_MILLIS);
        LOG.infof("endpoint: %s listens on port %d", config.endpoint(), (Object) server.port());
    }

    /** Returns the address to announce, with the actual port if the configured port is 0. */
    private String address() {
        InetSocketAddress listen = config.listen();
        if (listen.getPort() != 0) {
            return config.daemon().address();
        }
        return listen.getHostString() + ":" + server.port();
    }

    private void tick() {
        dispatcher.tick(backend.isAvailable());
        if (cache != null) {
            cache.tick(RunDispatcher.nowMillis());
        }
    }

    private void countDownWhenIdle(CountDownLatch idle) {
        if (dispatcher.openRuns() == 0 && claims.unacknowledged() == 0) {
            idle.countDown();
        }
    }

    private void close() {
        claims.close();
        timer.shutdownNow();
        if (server != null) {
            server.close();
        }
        control.close();
        workers.shutdown();
        try {
            http.stop();
        } catch (Exception e) {
            LOG.warnf(e, "endpoint: Cannot stop the HTTP client");
        }
    }

    private void handle(Message request, Responder responder) {
        if (request instanceof RunRequest run) {
            dispatcher.accept(run, responder);
        } else if (request instanceof Ping) {
            responder.reply(new Pong(state(), dispatcher.load()));
        } else {
            responder.fail(
                    "an endpoint daemon does not handle " + request.getClass().getSimpleName());
        }
    }

    private EndpointState state() {
        if (leaving || draining) {
            return EndpointState.LEAVING;
        }
        return backend.isAvailable() ? EndpointState.READY : EndpointState.UNAVAILABLE;
    }

    private Optional<RefusalReason> refusal(RunRequest request) {
        EndpointState state = state();
        if (state == EndpointState.LEAVING) {
            return Optional.of(RefusalReason.ENDPOINT_LEAVING);
        }
        if (!state.acceptsWork()) {
            return Optional.of(RefusalReason.ENDPOINT_FAILED);
        }
        boolean open = request.organisation().value().equals(OPEN_ORGANISATION);
        return open || sync.hasLease() ? Optional.empty() : Optional.of(RefusalReason.CONFIGURATION_LEASE_EXPIRED);
    }

    /** Sends a command repeatedly until control has acknowledged it. */
    private void sendUntilAcknowledged(Command command, Runnable onAcknowledged) {
        control.call(command, Done.class, SyncLoop.INTERVAL_MILLIS * 4).whenComplete((done, failure) -> {
            if (failure == null) {
                onAcknowledged.run();
            } else {
                TimerTasks.schedule(
                        timer, () -> sendUntilAcknowledged(command, onAcknowledged), SyncLoop.INTERVAL_MILLIS);
            }
        });
    }

    private final class StatusListener implements EngineBackend.StatusListener {
        @Override
        public void statusReceived(EngineStatus status, long requestedNanos) {
            cache.statusReceived(status, RunDispatcher.nowMillis());
            dispatcher.statusReceived(status, requestedNanos);
        }

        @Override
        public void unreachable() {
            dispatcher.unreachable();
        }
    }

    private final class Delegate implements SyncLoop.Delegate {
        @Override
        public EndpointState state() {
            return EndpointNode.this.state();
        }

        @Override
        public EndpointLoad load() {
            return dispatcher.load();
        }

        @Override
        public void programsEnded(EndedDelta delta) {
            if (cache != null) {
                cache.programsEnded(delta);
            }
        }

        @Override
        public void draining(boolean requested) {
            // A new leader of control does not know about the drain, so only a restart of the daemon ends it.
            draining = draining || requested;
        }
    }

    private final class Context implements RunDispatcher.Context {
        @Override
        public Optional<RefusalReason> refusal(RunRequest request) {
            return EndpointNode.this.refusal(request);
        }

        @Override
        public Backend backend() {
            return backend;
        }

        @Override
        public ClaimClient claims() {
            return claims;
        }

        @Override
        public ScheduledExecutorService timer() {
            return timer;
        }

        @Override
        public void runStarted(RunTask task) {
            if (cache != null) {
                cache.runStarted(task.request.program(), RunDispatcher.nowMillis());
            }
        }

        @Override
        public void runEnded(RunTask task, Usage usage) {
            if (cache != null) {
                long tokens = usage == null ? 0 : usage.promptTokens() + usage.completionTokens();
                cache.runEnded(task.request.program(), tokens, RunDispatcher.nowMillis());
            }
        }

        @Override
        public void engineCrashed(CrashAttribution.Crash crash) {
            LOG.warnf(
                    "endpoint: Engine instance %s crashed with %d distinct requests running",
                    crash.instance(), (Object) crash.digests().size());
            metrics.counter("endpoint.engine.crashes").inc();
            sendUntilAcknowledged(new CrashReport(config.endpoint(), crash.instance(), crash.digests()), () -> {});
        }

        @Override
        public void suspectCleared(RequestDigest digest) {
            if (pendingClears.add(digest)) {
                sendUntilAcknowledged(new ClearSuspects(List.of(digest)), () -> pendingClears.remove(digest));
            }
        }
    }
}
