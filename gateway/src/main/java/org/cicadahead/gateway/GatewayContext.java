package org.cicadahead.gateway;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.cicadahead.site.SiteIndex;

/** The state and services that all requests of an entry share. Thread-safe. */
final class GatewayContext {
    private final EndpointSelector selector;
    private final RateLimiter rateLimiter;
    private final TurnStores stores;
    private final TurnTextCache turnTexts = new TurnTextCache();
    private final ProgramTracker programs = new ProgramTracker();
    private final CrashTracker crashes = new CrashTracker();
    private final EventDistances eventDistances = new EventDistances();
    private final EndpointClient endpoints;
    private final GatewayCounters counters;
    private final DecisionLog decisions;
    private final ScheduledExecutorService timer;
    private final LongSupplier clock;
    private final int maxActiveRequests;
    private final ResponseMemory responseMemory;
    private final FleetConfirmation fleetConfirmation;
    private final AtomicInteger activeRequests = new AtomicInteger();
    private volatile SiteIndex site;
    private volatile long stopMillis = Long.MAX_VALUE;

    GatewayContext(
            EndpointSelector selector,
            RateLimiter rateLimiter,
            TurnStores stores,
            EndpointClient endpoints,
            GatewayCounters counters,
            DecisionLog decisions,
            ScheduledExecutorService timer,
            LongSupplier clock,
            int maxActiveRequests,
            ResponseMemory responseMemory,
            FleetConfirmation fleetConfirmation) {
        this.selector = selector;
        this.rateLimiter = rateLimiter;
        this.stores = stores;
        this.endpoints = endpoints;
        this.counters = counters;
        this.decisions = decisions;
        this.timer = timer;
        this.clock = clock;
        this.maxActiveRequests = maxActiveRequests;
        this.responseMemory = responseMemory;
        this.fleetConfirmation = fleetConfirmation;
    }

    EndpointSelector selector() {
        return selector;
    }

    RateLimiter rateLimiter() {
        return rateLimiter;
    }

    TurnStores stores() {
        return stores;
    }

    TurnTextCache turnTexts() {
        return turnTexts;
    }

    ProgramTracker programs() {
        return programs;
    }

    CrashTracker crashes() {
        return crashes;
    }

    EventDistances eventDistances() {
        return eventDistances;
    }

    EndpointClient endpoints() {
        return endpoints;
    }

    GatewayCounters counters() {
        return counters;
    }

    ResponseMemory responseMemory() {
        return responseMemory;
    }

    FleetConfirmation fleetConfirmation() {
        return fleetConfirmation;
    }

    DecisionLog decisions() {
        return decisions;
    }

    ScheduledExecutorService timer() {
        return timer;
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    /** Returns whether the number of active requests is below the limit that the heap allows. */
    boolean hasCapacity() {
        return activeRequests.get() < maxActiveRequests;
    }

    AtomicInteger activeRequests() {
        return activeRequests;
    }

    /** Returns the monotonic time by which all requests must have been answered, in milliseconds. */
    long stopMillis() {
        return stopMillis;
    }

    void stopMillis(long millis) {
        stopMillis = millis;
    }

    /** Returns the current configuration, or null if none has been received. */
    SiteIndex site() {
        return site;
    }

    void site(SiteIndex next) {
        site = next;
    }
}
