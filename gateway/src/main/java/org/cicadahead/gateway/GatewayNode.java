package org.cicadahead.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.cicadahead.fleet.DaemonPlace;
import org.cicadahead.fleet.FleetMessages;
import org.cicadahead.fleet.FleetRole;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.fleet.QuotaShares;
import org.cicadahead.fleet.RequestQuota;
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.node.Node;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.site.CallerLimits;
import org.cicadahead.site.SiteConfiguration;
import org.cicadahead.site.SiteIndex;
import org.cicadahead.watch.FleetWatch;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.ControlClient;
import org.jboss.logging.Logger;

/**
 * The entry role of a daemon. Safe for use by several threads.
 *
 * <p>An adapter decodes the requests of callers and passes them to {@link #serve}. The first use is {@link #start}.
 */
public final class GatewayNode implements Node {
    /** How often waiting requests are looked at, in milliseconds. */
    private static final long TICK_MILLIS = 50;
    /** How long an ask for shares may take, in milliseconds. */
    private static final long ASK_MILLIS = 600;
    /** How long one hub may take to answer an ask, in milliseconds: many round trips, and less than an election. */
    private static final long ASK_ATTEMPT_MILLIS = 120;
    /** How often a shutdown looks whether requests are left, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 20;
    /** After SIGTERM requests are served for this time, in milliseconds: two checks of the balancer, a second apart. */
    private static final long BALANCER_MILLIS = 3_200;

    /**
     * The heap that a request may take, in bytes: its body and its chain, each read, packed for the stores and sent.
     * The requests that come at once after a freeze of the VM must not fill the heap.
     */
    private static final long REQUEST_BYTES = 256 * 1024;

    private static final Logger LOG = Logger.getLogger("cicadahead.gateway");

    private final GatewayConfig config;
    private final MessageCatalog catalog = FleetMessages.catalog(MessageCatalog.standard());
    private final ScheduledThreadPoolExecutor timer =
            new ScheduledThreadPoolExecutor(1, DaemonThreads.named("gateway-timer"));
    private final EndpointSelector selector;
    private final RateLimiter rates;
    private final TurnStores stores;
    private final ControlClient hubs;
    private final GatewayContext context;
    private FleetWatch watch;
    private volatile boolean stopping;

    private GatewayNode(GatewayConfig config, EndpointClient endpoints, DecisionLog decisions, MetricRegistry metrics) {
        this.config = config;
        timer.setRemoveOnCancelPolicy(true);
        selector = new EndpointSelector(config.zone(), config.heartbeatIntervalMillis());
        hubs = ControlClient.to(config.hubs().stream().map(Addresses::parse).toList(), catalog, ASK_ATTEMPT_MILLIS);
        rates = new RateLimiter(config.name(), this::ask, GatewayNode::nowMillis);
        stores = new TurnStores(catalog, timer);
        context = new GatewayContext(
                selector,
                rates,
                stores,
                endpoints,
                new GatewayCounters(metrics),
                decisions,
                timer,
                GatewayNode::nowMillis,
                (int) (Runtime.getRuntime().maxMemory() / REQUEST_BYTES));
        metrics.gauge("gateway.active", () -> () -> context.active().get());
        metrics.gauge("gateway.log_lines_dropped", () -> decisions::dropped);
    }

    /**
     * Starts the role.
     *
     * @param config the settings
     * @param endpoints sends requests to endpoints
     * @param decisions takes a line for each request
     * @param metrics takes the counters
     * @return the running role
     */
    public static GatewayNode start(
            GatewayConfig config, EndpointClient endpoints, DecisionLog decisions, MetricRegistry metrics) {
        Objects.requireNonNull(config, "The config must not be null");
        GatewayNode node = new GatewayNode(config, endpoints, decisions, metrics);
        node.begin();
        return node;
    }

    /**
     * Returns the monotonic time.
     *
     * @return the time in milliseconds
     */
    public static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Serves a request. The answer comes through the exchange, also later by another thread.
     *
     * @param caller the request
     * @param exchange the way back
     */
    public void serve(CallerRequest caller, CallerExchange exchange) {
        RequestFlow.serve(context, caller, exchange);
    }

    /**
     * Returns the bounds on what callers send.
     *
     * @return the bounds in force
     */
    public CallerLimits limits() {
        SiteIndex site = context.site();
        return site == null ? CallerLimits.STANDARD : site.site().limits();
    }

    /**
     * Follows a change of the settings.
     *
     * @param hubs addresses of hubs
     */
    public void updateSeeds(List<String> hubs) {
        watch.updateSeeds(hubs);
    }

    @Override
    public boolean isReady() {
        return !stopping && context.site() != null;
    }

    /**
     * Returns whether a shutdown has begun, so that callers should open no more requests on their connections.
     *
     * @return true if it has
     */
    public boolean isStopping() {
        return stopping;
    }

    /**
     * Serves on until the balancer has noticed, then waits for what still runs. The process is to end at once
     * afterwards, as each moment more takes requests that are then lost.
     */
    @Override
    public void shutdown(long timeoutMillis) {
        stopping = true;
        long began = nowMillis();
        LOG.infof(
                "gateway: Stops within %d ms, %d requests run",
                timeoutMillis, context.active().get());
        try {
            while (nowMillis() - began < timeoutMillis
                    && (nowMillis() - began < BALANCER_MILLIS
                            || context.active().get() > 0)) {
                Thread.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.infof("gateway: Stopped, %d requests are cut off", context.active().get());
    }

    /** Closes all connections to hubs and stores. What still runs fails. */
    public void close() {
        timer.shutdownNow();
        watch.close();
        stores.stop();
        hubs.close();
    }

    private void begin() {
        watch = FleetWatch.start(
                new DaemonPlace(config.name(), FleetRole.ENTRY, config.zone(), ""),
                config.hubs(),
                catalog,
                timer,
                this::updated);
        timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.infof("gateway: %s started", config.name());
    }

    private void tick() {
        try {
            rates.tick();
        } catch (RuntimeException e) {
            LOG.errorf(e, "gateway: The timer task failed");
        }
    }

    private CompletableFuture<QuotaShares> ask(RequestQuota ask) {
        return hubs.call(ask, QuotaShares.class, ASK_MILLIS);
    }

    private synchronized void configured(SiteConfiguration site) {
        SiteIndex before = context.site();
        if (before == null || site.version() > before.site().version()) {
            context.site(SiteIndex.of(site));
            rates.configured(site);
            LOG.infof("gateway: Version %d of the configuration is in force", site.version());
        }
    }

    private void updated(FleetUpdate update) {
        selector.updated(update, nowMillis());
        if (update.site() != null) {
            configured(update.site());
        }
        if (update.daemons() != null) {
            timer.execute(this::daemonsChanged);
        }
    }

    private void daemonsChanged() {
        stores.known(watch.daemons(FleetRole.STORE).keySet());
        hubs.retarget(watch.hubs().stream().map(Addresses::parse).toList());
    }
}
