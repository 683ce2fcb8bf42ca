package org.cicadahead.entry;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cicadahead.model.DaemonId;
import org.cicadahead.wire.ControlClient;

/** The state that all requests of an entry share. Thread-safe. */
final class EntryContext {
    private final DaemonId daemon;
    private final ControlClient control;
    private final ConfigurationReplica replica;
    private final EndpointDirectory endpoints;
    private final AdmissionController admission;
    private final StepLeaseRenewer stepLeaseRenewer;
    private final HistoryCache histories = new HistoryCache();
    private final Counters counters;
    private final Executor workers;
    private final ScheduledExecutorService timer;
    private final LongSupplier clock;
    private final Set<RequestFlow> flows = ConcurrentHashMap.newKeySet();
    private volatile boolean shuttingDown;

    EntryContext(
            EntryConfig config,
            ControlClient control,
            Counters counters,
            Executor workers,
            ScheduledExecutorService timer,
            LongSupplier clock) {
        this.daemon = config.daemon().id();
        this.control = control;
        this.replica = new ConfigurationReplica();
        this.endpoints = new EndpointDirectory(config.daemon().zone(), clock);
        this.admission = new AdmissionController(config.daemon(), control, clock);
        this.stepLeaseRenewer = new StepLeaseRenewer(daemon, control);
        this.counters = counters;
        this.workers = workers;
        this.timer = timer;
        this.clock = clock;
    }

    DaemonId daemon() {
        return daemon;
    }

    ControlClient control() {
        return control;
    }

    ConfigurationReplica replica() {
        return replica;
    }

    EndpointDirectory endpoints() {
        return endpoints;
    }

    AdmissionController admission() {
        return admission;
    }

    StepLeaseRenewer stepLeaseRenewer() {
        return stepLeaseRenewer;
    }

    HistoryCache histories() {
        return histories;
    }

    Counters counters() {
        return counters;
    }

    Executor workers() {
        return workers;
    }

    Set<RequestFlow> flows() {
        return flows;
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    boolean isLeased() {
        return replica.isLeased(nowMillis());
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    void shutDown() {
        shuttingDown = true;
    }

    /** Runs a task on an executor after a delay. */
    Future<?> schedule(long delayMillis, Executor executor, Runnable task) {
        return timer.schedule(() -> executor.execute(task), delayMillis, TimeUnit.MILLISECONDS);
    }
}
