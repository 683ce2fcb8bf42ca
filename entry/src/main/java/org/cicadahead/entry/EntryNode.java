package org.cicadahead.entry;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.caller.CallerResponse;
import org.cicadahead.caller.CallerServer;
import org.cicadahead.caller.CallerService;
import org.cicadahead.caller.Refusal;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.wire.ControlClient;
import org.jboss.logging.Logger;

/**
 * The entry role, which serves callers over HTTP. Thread-safe.
 *
 * <p>Instances come from {@link #start(EntryConfig, MetricRegistry)}.
 */
public final class EntryNode implements Node {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");
    /** Interval in milliseconds at which waiting requests and the configuration lease are checked. */
    private static final long TICK_MILLIS = 20;
    /** Time in milliseconds that aborted requests have to send their last response at shutdown. */
    private static final long ABORT_TIMEOUT_MILLIS = 500;

    private static final AtomicInteger THREAD_COUNTER = new AtomicInteger();

    private final EntryContext context;
    private final ControlClient control;
    private final ExecutorService workers;
    private final ScheduledExecutorService timer;
    private final CallerServer server;

    private EntryNode(
            EntryContext context,
            ControlClient control,
            ExecutorService workers,
            ScheduledExecutorService timer,
            CallerServer server) {
        this.context = context;
        this.control = control;
        this.workers = workers;
        this.timer = timer;
        this.server = server;
    }

    /**
     * Starts an entry. It becomes ready when control has replied to its first sync.
     *
     * @param config the configuration
     * @param metrics the registry of the counters
     * @return the entry
     * @throws NodeException if the HTTP server cannot start
     */
    public static EntryNode start(EntryConfig config, MetricRegistry metrics) throws NodeException {
        ExecutorService workers = Executors.newFixedThreadPool(config.workers(), task -> daemonThread(task, "worker"));
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, "timer"));
        timer.setRemoveOnCancelPolicy(true);
        ControlClient control = ControlClient.to(config.control(), MessageCatalog.standard());
        long startNanos = System.nanoTime();
        Counters counters = new Counters(metrics);
        EntryContext context = new EntryContext(
                config,
                control,
                counters,
                workers,
                timer,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
        SyncLoop sync = new SyncLoop(config.daemon(), context);
        try {
            CallerServer server =
                    CallerServer.start(config.httpListen(), config.workers(), config.maxBodyBytes(), service(context));
            schedule(timer, SyncLoop.INTERVAL_MILLIS, sync::tick);
            schedule(timer, StepLeaseRenewer.INTERVAL_MILLIS, context.stepLeaseRenewer()::renew);
            schedule(timer, TICK_MILLIS, context.admission()::tick);
            schedule(timer, TICK_MILLIS, sync::checkLease);
            LOG.infof("entry: Serving callers on port %d", server.port());
            return new EntryNode(context, control, workers, timer, server);
        } catch (IOException e) {
            timer.shutdownNow();
            workers.shutdownNow();
            control.close();
            throw new NodeException("The entry cannot start its HTTP server on " + config.httpListen(), e);
        }
    }

    /**
     * Returns the port of the HTTP server.
     *
     * @return the port
     */
    public int httpPort() {
        return server.port();
    }

    @Override
    public boolean isReady() {
        return !context.isShuttingDown() && context.isLeased();
    }

    @Override
    public void shutdown(long timeoutMillis) {
        context.shutDown();
        server.stopAccepting();
        awaitRequests(timeoutMillis);
        if (server.openRequests() > 0) {
            LOG.warnf("entry: Aborting %d requests at shutdown", server.openRequests());
            List.copyOf(context.flows()).forEach(RequestFlow::abort);
            awaitRequests(ABORT_TIMEOUT_MILLIS);
        }
        timer.shutdownNow();
        server.close();
        workers.shutdown();
        control.close();
        context.endpoints().close();
    }

    private void awaitRequests(long timeoutMillis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (server.openRequests() > 0 && System.nanoTime() - endNanos < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS));
        }
    }

    private static CallerService service(EntryContext context) {
        ProgramRequestHandler programs = new ProgramRequestHandler(context);
        return new CallerService() {
            @Override
            public void serve(CallerRequest request, CallerResponse response) {
                boolean needsEndpoint =
                        request.kind() == CallerRequest.Kind.CHAT || request.kind() == CallerRequest.Kind.SERVICE;
                if (needsEndpoint) {
                    new RequestFlow(context, request, response).start();
                } else {
                    programs.serve(request, response);
                }
            }

            @Override
            public void countRefusal(Refusal refusal) {
                context.counters().refused(refusal.reason());
            }
        };
    }

    private static void schedule(ScheduledExecutorService timer, long intervalMillis, Runnable task) {
        timer.scheduleWithFixedDelay(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LOG.errorf(e, "entry: A periodic task failed");
                    }
                },
                0,
                intervalMillis,
                TimeUnit.MILLISECONDS);
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, "entry-" + name + "-" + THREAD_COUNTER.incrementAndGet());
        thread.setDaemon(true);
        return thread;
    }
}
