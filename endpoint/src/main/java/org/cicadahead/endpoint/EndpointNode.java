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
 * The daemon beside one engine or service. Safe for use by several threads.
 *
 * <p>The first use is {@link #start(EndpointConfig, MetricRegistry)}; the last is {@link #shutdown(long)}.
 */
public final class EndpointNode implements Node {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    private static final String OPEN_ORGANISATION = "open";
    private static final long WORKER_IDLE_SECONDS = 10;
    private static final long TICK_MILLIS = 100;
    private static final long BACKEND_TICK_MILLIS = 250;
    private static final long SHUTDOWN_POLL_MILLIS = 20;
    /** How long a leaving endpoint still refuses stray requests by itself, in milliseconds. */
    private static final long LINGER_MILLIS = 100;

    private final EndpointConfig config;
    private final MetricRegistry metrics;
    private final ThreadPoolExecutor workers;
    private final ScheduledThreadPoolExecutor timer;
    private final ControlClient control;
    private final HttpClient http;
    private final PoisonTableReplica poison = new PoisonTableReplica();
    private final ClaimClient claims;
    private final Backend backend;
    private final CacheManager cache;
    private final RunDispatcher flow;
    private final Set<RequestDigest> clearing = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private PeerServer server;
    private SyncLoop sync;
    private volatile boolean draining;
    private volatile boolean leaving;

    private EndpointNode(EndpointConfig config, MetricRegistry metrics) throws NodeException {
        this.config = config;
        this.metrics = metrics;
        this.workers = workers(config.workers());
        this.timer = timer();
        this.control = ControlClient.to(config.control(), MessageCatalog.standard());
        this.http = HttpClients.start("endpoint-http");
        ControlPort port = control::call;
        this.claims = new ClaimClient(port, config.endpoint(), config.daemon().generation(), timer);
        if (config.kind().cachesPrefixes()) {
            EngineClient engine = EngineClient.to(http, config.target());
            this.backend = new EngineBackend(engine, new StatusListener(), metrics);
            this.cache = new CacheManager(engine, port, metrics, RunDispatcher.nowMillis());
        } else {
            this.backend = new ServiceBackend(ServiceClient.to(http, config.target()), config.target(), workers);
            this.cache = null;
        }
        this.flow = new RunDispatcher(config, metrics, poison, new Context());
    }

    /**
     * Starts the daemon.
     *
     * @param config what it needs
     * @param metrics where it counts
     * @return the running daemon
     * @throws NodeException if it cannot listen or its client cannot start
     */
    public static EndpointNode start(EndpointConfig config, MetricRegistry metrics) throws NodeException {
        EndpointNode node = new EndpointNode(config, metrics);
        try {
            node.server = PeerServer.start(config.listen(), MessageCatalog.standard(), node.workers, node::handle);
        } catch (WireException e) {
            node.close();
            throw new NodeException("cannot listen for other daemons", e);
        }
        node.begin();
        return node;
    }

    /**
     * Returns the port that the daemon listens on.
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
        LOG.infof("endpoint: %s is leaving with %d runs open", config.endpoint(), flow.open());
        sync.call();
        CountDownLatch idle = new CountDownLatch(1);
        TimerTasks.repeat(timer, () -> countDownWhenIdle(idle), SHUTDOWN_POLL_MILLIS);
        try {
            if (!idle.await(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                LOG.warnf("endpoint: %d runs are cut off, as the time is up", flow.open());
                flow.cancelAll();
            }
            sync.withdraw();
            workers.awaitTermination(LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    private static ThreadPoolExecutor workers(int count) {
        // A full queue makes the readers of the connections work, which bounds the requests that are held in memory.
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

    private static ScheduledThreadPoolExecutor timer() {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, DaemonThreads.named("endpoint-timer"));
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    private void begin() {
        sync = new SyncLoop(config, address(), control::call, poison, new Delegate());
        TimerTasks.repeat(timer, sync::call, SyncLoop.INTERVAL_MILLIS);
        TimerTasks.repeat(timer, backend::tick, BACKEND_TICK_MILLIS);
        TimerTasks.repeat(timer, this::tick, TICK_MILLIS);
        LOG.infof("endpoint: %s listens on port %d", config.endpoint(), (Object) server.port());
    }

    /** Returns the address to announce; a free port that was asked for is filled in. */
    private String address() {
        InetSocketAddress listen = config.listen();
        if (listen.getPort() != 0) {
            return config.daemon().address();
        }
        return listen.getHostString() + ":" + server.port();
    }

    private void tick() {
        flow.tick(backend.isAvailable());
        if (cache != null) {
            cache.tick(RunDispatcher.nowMillis());
        }
    }

    private void countDownWhenIdle(CountDownLatch idle) {
        if (flow.open() == 0 && claims.unacknowledged() == 0) {
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
            flow.accept(run, responder);
        } else if (request instanceof Ping) {
            responder.reply(new Pong(state(), flow.load()));
        } else {
            responder.fail(
                    "an endpoint daemon does not serve " + request.getClass().getSimpleName());
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

    /** Sends a command until control has acknowledged it. */
    private void report(Command command, Runnable acknowledged) {
        control.call(command, Done.class, SyncLoop.INTERVAL_MILLIS * 4).whenComplete((done, failure) -> {
            if (failure == null) {
                acknowledged.run();
            } else {
                TimerTasks.schedule(timer, () -> report(command, acknowledged), SyncLoop.INTERVAL_MILLIS);
            }
        });
    }

    private final class StatusListener implements EngineBackend.StatusListener {
        @Override
        public void statusSeen(EngineStatus status, long askedNanos) {
            cache.statusSeen(status, RunDispatcher.nowMillis());
            flow.statusSeen(status, askedNanos);
        }

        @Override
        public void unreachable() {
            flow.unreachable();
        }
    }

    private final class Delegate implements SyncLoop.Delegate {
        @Override
        public EndpointState state() {
            return EndpointNode.this.state();
        }

        @Override
        public EndpointLoad load() {
            return flow.load();
        }

        @Override
        public void ended(EndedDelta delta) {
            if (cache != null) {
                cache.ended(delta);
            }
        }

        @Override
        public void draining(boolean asked) {
            // A new leader does not know of the drain, so that only a restart of the daemon ends it.
            draining = draining || asked;
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
        public void crashed(CrashAttribution.Crash crash) {
            LOG.warnf(
                    "endpoint: Engine instance %s crashed with %d digests running",
                    crash.instance(), (Object) crash.digests().size());
            metrics.counter("endpoint.engine.crashes").inc();
            report(new CrashReport(config.endpoint(), crash.instance(), crash.digests()), () -> {});
        }

        @Override
        public void cleared(RequestDigest digest) {
            if (clearing.add(digest)) {
                report(new ClearSuspects(List.of(digest)), () -> clearing.remove(digest));
            }
        }
    }
}
