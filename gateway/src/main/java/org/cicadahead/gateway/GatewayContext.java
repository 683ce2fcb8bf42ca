package org.cicadahead.gateway;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.cicadahead.site.SiteIndex;

/** What the requests of an entry share. Safe for use by several threads. */
final class GatewayContext {
    private final EndpointSelector selector;
    private final RateLimiter rates;
    private final TurnStores stores;
    private final TurnTextCache texts = new TurnTextCache();
    private final ProgramTracker programs = new ProgramTracker();
    private final EndpointClient endpoints;
    private final GatewayCounters counters;
    private final DecisionLog decisions;
    private final ScheduledExecutorService timer;
    private final LongSupplier clock;
    private final int maxActive;
    private final AtomicInteger active = new AtomicInteger();
    private volatile SiteIndex site;

    GatewayContext(
            EndpointSelector selector,
            RateLimiter rates,
            TurnStores stores,
            EndpointClient endpoints,
            GatewayCounters counters,
            DecisionLog decisions,
            ScheduledExecutorService timer,
            LongSupplier clock,
            int maxActive) {
        this.selector = selector;
        this.rates = rates;
        this.stores = stores;
        this.endpoints = endpoints;
        this.counters = counters;
        this.decisions = decisions;
        this.timer = timer;
        this.clock = clock;
        this.maxActive = maxActive;
    }

    EndpointSelector selector() {
        return selector;
    }

    RateLimiter rates() {
        return rates;
    }

    TurnStores stores() {
        return stores;
    }

    TurnTextCache texts() {
        return texts;
    }

    ProgramTracker programs() {
        return programs;
    }

    EndpointClient endpoints() {
        return endpoints;
    }

    GatewayCounters counters() {
        return counters;
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

    /** Returns whether there is memory for another request. */
    boolean hasRoom() {
        return active.get() < maxActive;
    }

    AtomicInteger active() {
        return active;
    }

    /** Returns the configuration in force, or null if none is known. */
    SiteIndex site() {
        return site;
    }

    void site(SiteIndex next) {
        site = next;
    }
}
