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
 * The entry role: serves callers over HTTP. Safe for use by several threads.
 *
 * <p>The first use is {@link #start(EntryConfig, MetricRegistry)}.
 */
public final class EntryNode implements Node {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");
    /** How often waiting requests and the lease are looked at, in milliseconds. */
    private static final long TICK_MILLIS = 20;
    /** How long requests that are cut off have for their last answer, in milliseconds. */
    private static final long CUT_OFF_MILLIS = 500;

    private static final AtomicInteger THREADS = new AtomicInteger();

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
     * Starts an entry. It is ready once control has answered its first sync.
     *
     * @param config the configuration
     * @param metrics takes the counters
     * @return the entry
     * @throws NodeException if the HTTP address cannot be served
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
            schedule(timer, StepLeaseRenewer.INTERVAL_MILLIS, context.renewal()::renew);
            schedule(timer, TICK_MILLIS, context.admission()::tick);
            schedule(timer, TICK_MILLIS, sync::checkLease);
            LOG.infof("entry: Serves callers on port %d", server.port());
            return new EntryNode(context, control, workers, timer, server);
        } catch (IOException e) {
            timer.shutdownNow();
            workers.shutdownNow();
            control.close();
            throw new NodeException("The entry cannot serve callers on " + config.httpListen(), e);
        }
    }

    /**
     * Returns the port at which callers are served.
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
            LOG.warnf("entry: Cuts off %d requests", server.openRequests());
            List.copyOf(context.flows()).forEach(RequestFlow::cutOff);
            awaitRequests(CUT_OFF_MILLIS);
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
            public void serve(CallerRequest request, CallerResponse answer) {
                boolean runs =
                        request.kind() == CallerRequest.Kind.CHAT || request.kind() == CallerRequest.Kind.SERVICE;
                if (runs) {
                    new RequestFlow(context, request, answer).start();
                } else {
                    programs.serve(request, answer);
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
        Thread thread = new Thread(task, "entry-" + name + "-" + THREADS.incrementAndGet());
        thread.setDaemon(true);
        return thread;
    }
}
