package org.cicadahead.gateway;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetMessages;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.model.KeyDigests;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.site.CallerLimits;
import org.cicadahead.site.Repetition;
import org.cicadahead.site.SiteConfiguration;
import org.cicadahead.site.SiteIndex;
import org.cicadahead.site.SiteOrganisation;
import org.cicadahead.site.SiteRoute;
import org.cicadahead.site.SiteService;
import org.cicadahead.site.WeightedService;

/** An entry with three scripted endpoints of one service, and a route for each kind of request. */
final class GatewayFixture {
    static final int MAX_ACTIVE = 12;
    private static final List<String> ENDPOINTS = List.of("a", "b", "c");
    private static final long MAX_RESPONSE_BYTES = 100_000;

    /** The delays with which tasks were given to the timer, in milliseconds. */
    final List<Long> delays = new CopyOnWriteArrayList<>();

    final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1) {
        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            delays.add(unit.toMillis(delay));
            return super.schedule(task, delay, unit);
        }
    };
    final FakeEndpoints endpoints = new FakeEndpoints();
    final MetricRegistry metrics = new MetricRegistry();
    final EndpointSelector selector = new EndpointSelector("e", "z", 1_000);
    final GatewayContext context;

    GatewayFixture() {
        RateLimiter rateLimiter = new RateLimiter(
                "e",
                request -> CompletableFuture.failedFuture(new IllegalStateException("none")),
                GatewayNode::nowMillis);
        context = new GatewayContext(
                selector,
                rateLimiter,
                new TurnStores(FleetMessages.catalog(MessageCatalog.standard()), timer),
                endpoints,
                new GatewayCounters(metrics),
                DecisionLog.to(new PrintStream(OutputStream.nullOutputStream())),
                timer,
                GatewayNode::nowMillis,
                MAX_ACTIVE,
                new ResponseMemory(MAX_RESPONSE_BYTES),
                timeoutMillis -> CompletableFuture.completedFuture(true));
        SiteOrganisation organisation = new SiteOrganisation("o", List.of(KeyDigests.of("k")), 0, 0, null);
        context.site(SiteIndex.of(new SiteConfiguration(
                1,
                List.of(
                        route("/safe/", Repetition.IDEMPOTENT, false),
                        route("/once/", Repetition.NON_IDEMPOTENT, false),
                        route("/sticky/", Repetition.IDEMPOTENT, false),
                        route("/stream/", Repetition.STREAM, false),
                        route("/resume/", Repetition.STREAM, true),
                        route("/resume3/", Repetition.STREAM, true, 3)),
                List.of(new SiteService("s", "/health", 10, null)),
                List.of(organisation),
                CallerLimits.STANDARD)));
        ENDPOINTS.forEach(this::join);
    }

    /** Reports an endpoint as ready. */
    void join(String instance) {
        report(instance, 1, EndpointPhase.READY);
    }

    /** Reports all endpoints but one as gone. */
    void leaveOnly(String instance) {
        ENDPOINTS.stream().filter(id -> !id.equals(instance)).forEach(id -> report(id, 2, EndpointPhase.GONE));
    }

    private void report(String id, long sequence, EndpointPhase phase) {
        EndpointRecord heartbeat = new EndpointRecord(id, 0, sequence, "s", id + ":1", "z", 4, phase, 0, "");
        selector.applyUpdate(
                new FleetUpdate(null, List.of(heartbeat), null, null, "", null, null), GatewayNode.nowMillis());
    }

    private static SiteRoute route(String prefix, Repetition repetition, boolean resumable) {
        return route(prefix, repetition, resumable, 2);
    }

    private static SiteRoute route(String prefix, Repetition repetition, boolean resumable, int maxAttempts) {
        return new SiteRoute(
                prefix,
                "h",
                prefix,
                repetition,
                resumable,
                false,
                60_000,
                false,
                prefix.equals("/sticky/"),
                0,
                3_000,
                200,
                250,
                maxAttempts,
                List.of(new WeightedService("s", 1)));
    }

    static CallerRequest safe(String attempt) {
        return request(attempt, "GET", "/safe/", "k", 1_000);
    }

    static CallerRequest request(String attempt, String method, String path, String key, long timeLeftMillis) {
        return request(attempt, method, path, key, timeLeftMillis, List.of());
    }

    static CallerRequest request(
            String attempt, String method, String path, String key, long timeLeftMillis, List<String> affinity) {
        return new CallerRequest(
                attempt,
                method,
                path,
                path.replaceFirst("\\?.*", ""),
                "h",
                List.of(),
                new byte[0],
                key,
                timeLeftMillis,
                null,
                "",
                List.of(),
                affinity,
                0,
                -1,
                "",
                GatewayNode.nowMillis());
    }
}
