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
import org.cicadahead.fleet.ReportCrashes;
import org.cicadahead.fleet.RequestQuota;
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.node.Node;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.site.CallerLimits;
import org.cicadahead.site.SiteConfiguration;
import org.cicadahead.site.SiteIndex;
import org.cicadahead.watch.FleetWatch;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.ControlClient;
import org.jboss.logging.Logger;

/**
 * The entry role of a daemon. Thread-safe.
 *
 * <p>An adapter decodes the requests of callers and passes them to {@link #serve}. Create a node with {@link #start}.
 */
public final class GatewayNode implements Node {
    /** The interval at which waiting requests are checked, in milliseconds. */
    private static final long TICK_MILLIS = 50;
    /** The timeout of a request for quota shares, in milliseconds. */
    private static final long SHARES_TIMEOUT_MILLIS = 600;
    /**
     * The timeout of a request for shares to one hub, in milliseconds: many round trips, but shorter than an election.
     */
    private static final long SHARES_ATTEMPT_MILLIS = 120;
    /** The interval at which a shutdown checks for active requests, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 20;
    /**
     * The minimum time that requests are still served after SIGTERM, in milliseconds. It covers two health checks of
     * the load balancer, one second apart.
     */
    private static final long BALANCER_DRAIN_MILLIS = 3_200;

    /**
     * The time before the end of a shutdown at which the last requests are answered, in milliseconds. Without it they
     * would be cut off by the end of the process.
     */
    private static final long LAST_ANSWER_MILLIS = 100;

    /**
     * The time after SIGTERM in which requests are accepted that may outlast the process, in milliseconds: two health
     * checks of the load balancer and the time that a new connection takes. Later requests come on connections that
     * callers have kept open.
     */
    private static final long ROTATION_MILLIS = 2_500;

    /**
     * The heap reserved per request, in bytes. A request holds several copies of its body and of the text of its turn
     * chain: as read, as encoded for the stores and as sent to the endpoint. The limit on active requests that follows
     * from it prevents requests that arrive together after a freeze of the VM from exhausting the heap.
     */
    private static final long HEAP_BYTES_PER_REQUEST = 256 * 1024;

    /**
     * The part of the heap that responses may occupy together, as a divisor. Their buffers take up to twice the bytes
     * that they hold, and are copied once.
     */
    private static final int RESPONSE_HEAP_DIVISOR = 8;

    private static final Logger LOG = Logger.getLogger("cicadahead.gateway");

    private final GatewayConfig config;
    private final MessageCatalog catalog = FleetMessages.catalog(MessageCatalog.standard());
    private final ScheduledThreadPoolExecutor timer =
            new ScheduledThreadPoolExecutor(1, DaemonThreads.named("gateway-timer"));
    private final EndpointSelector selector;
    private final RateLimiter rateLimiter;
    private final TurnStores stores;
    private final ControlClient hubs;
    private final GatewayContext context;
    private FleetWatch watch;
    private volatile boolean stopping;

    private GatewayNode(GatewayConfig config, EndpointClient endpoints, DecisionLog decisions, MetricRegistry metrics) {
        this.config = config;
        timer.setRemoveOnCancelPolicy(true);
        selector = new EndpointSelector(config.name(), config.zone(), config.heartbeatIntervalMillis());
        hubs = ControlClient.to(config.hubs().stream().map(Addresses::parse).toList(), catalog, SHARES_ATTEMPT_MILLIS);
        rateLimiter = new RateLimiter(config.name(), this::requestShares, GatewayNode::nowMillis);
        stores = new TurnStores(catalog, timer);
        context = new GatewayContext(
                selector,
                rateLimiter,
                stores,
                endpoints,
                new GatewayCounters(metrics),
                decisions,
                timer,
                GatewayNode::nowMillis,
                (int) (Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_REQUEST),
                new ResponseMemory(Runtime.getRuntime().maxMemory() / RESPONSE_HEAP_DIVISOR),
                timeoutMillis -> watch.confirmCurrent(timeoutMillis));
        metrics.gauge(
                "gateway.response_bytes", () -> () -> context.responseMemory().usedBytes());
        metrics.gauge("gateway.active", () -> () -> context.activeRequests().size());
        metrics.gauge("gateway.log_lines_dropped", () -> decisions::dropped);
    }

    /**
     * Starts the role.
     *
     * @param config the settings
     * @param endpoints the client that sends requests to endpoints
     * @param decisions the log that receives one line per request
     * @param metrics the registry for the counters
     * @return the running role
     */
    public static GatewayNode start(
            GatewayConfig config, EndpointClient endpoints, DecisionLog decisions, MetricRegistry metrics) {
        Objects.requireNonNull(config, "The config must not be null");
        GatewayNode node = new GatewayNode(config, endpoints, decisions, metrics);
        node.startTasks();
        return node;
    }

    /**
     * Returns the current monotonic time.
     *
     * @return the time in milliseconds
     */
    public static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Serves a request. The response is sent through the exchange, possibly later and by another thread.
     *
     * @param caller the request
     * @param exchange sends the response
     */
    public void serve(CallerRequest caller, CallerExchange exchange) {
        RequestFlow.serve(context, caller, exchange);
    }

    /**
     * Returns the limits on the requests of callers.
     *
     * @return the limits of the current configuration, or the standard limits if there is none
     */
    public CallerLimits limits() {
        SiteIndex site = context.site();
        return site == null ? CallerLimits.STANDARD : site.site().limits();
    }

    /**
     * Replaces the seed addresses of the hubs after a change of the settings.
     *
     * @param hubs the addresses of the hubs
     */
    public void updateSeeds(List<String> hubs) {
        watch.updateSeeds(hubs);
    }

    @Override
    public boolean isReady() {
        return !stopping && context.site() != null;
    }

    /**
     * Returns whether a shutdown has begun, in which case callers should send no further requests on their connections.
     *
     * @return true if it has
     */
    public boolean isStopping() {
        return stopping;
    }

    /**
     * Continues to serve until the load balancer has noticed the shutdown, then waits for the active requests. Those
     * that do not end in time are answered. Requests are still accepted afterwards, until {@link #refuseRequests}.
     */
    @Override
    public void shutdown(long timeoutMillis) {
        stopping = true;
        long startMillis = nowMillis();
        long stopMillis = startMillis + timeoutMillis - LAST_ANSWER_MILLIS;
        context.stopMillis(stopMillis);
        context.lateMillis(startMillis + ROTATION_MILLIS);
        LOG.infof(
                "gateway: Stopping within %d ms, %d requests active",
                timeoutMillis, context.activeRequests().size());
        try {
            while (nowMillis() < stopMillis
                    && (nowMillis() - startMillis < BALANCER_DRAIN_MILLIS
                            || !context.activeRequests().isEmpty())) {
                Thread.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.infof(
                "gateway: Stopped, %d requests aborted",
                context.activeRequests().size());
        context.activeRequests().forEach(RequestScope::stop);
    }

    /** Refuses all requests from now on; called when none is left after a shutdown. */
    public void refuseRequests() {
        context.stopMillis(nowMillis());
    }

    /** Closes all connections to hubs and stores. Active requests fail. */
    public void close() {
        timer.shutdownNow();
        watch.close();
        stores.stop();
        hubs.close();
    }

    private void startTasks() {
        watch = FleetWatch.start(
                new DaemonPlace(config.name(), FleetRole.ENTRY, config.zone(), ""),
                config.hubs(),
                catalog,
                timer,
                this::applyUpdate);
        timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.infof("gateway: %s started", config.name());
    }

    private void tick() {
        try {
            rateLimiter.tick();
            context.crashes().tick(this::reportCrashes, nowMillis());
        } catch (RuntimeException e) {
            LOG.errorf(e, "gateway: Timer task failed");
        }
    }

    private CompletableFuture<QuotaShares> requestShares(RequestQuota request) {
        return hubs.call(request, QuotaShares.class, SHARES_TIMEOUT_MILLIS);
    }

    private CompletableFuture<Done> reportCrashes(ReportCrashes report) {
        return hubs.call(report, Done.class, SHARES_TIMEOUT_MILLIS);
    }

    private synchronized void applyConfiguration(SiteConfiguration site) {
        SiteIndex current = context.site();
        if (current == null || site.version() > current.site().version()) {
            context.site(SiteIndex.of(site));
            rateLimiter.applyConfiguration(site);
            LOG.infof("gateway: Applied version %d of the configuration", site.version());
        }
    }

    private void applyUpdate(FleetUpdate update) {
        selector.applyUpdate(update, nowMillis());
        context.crashes().merge(update.crashes(), nowMillis());
        if (update.site() != null) {
            applyConfiguration(update.site());
        }
        if (update.daemons() != null) {
            timer.execute(this::daemonsChanged);
        }
    }

    private void daemonsChanged() {
        stores.setAddresses(watch.daemons(FleetRole.STORE).keySet());
        selector.updateEntries(watch.names(FleetRole.ENTRY), nowMillis(), System.currentTimeMillis());
        hubs.retarget(watch.hubs().stream().map(Addresses::parse).toList());
    }
}
