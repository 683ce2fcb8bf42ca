package org.cicadahead.daemon;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadahead.model.Role;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.jboss.logging.Logger;

/** The running roles of one process with their health server. Safe for use by several threads. */
final class Daemon {
    private static final Logger LOG = Logger.getLogger("cicadahead.daemon");
    /** Time for closing resources after the roles had their time to finish requests, in milliseconds. */
    private static final long SHUTDOWN_MARGIN_MILLIS = 2_000;
    /** An entry next to control needs control to finish its requests, so that control stops last. */
    private static final List<Role> START_ORDER = List.of(Role.CONTROL, Role.ENDPOINT, Role.ENTRY);

    private final List<Node> nodes = new ArrayList<>();
    private final long shutdownTimeoutMillis;
    private HealthServer health;
    private volatile boolean started;
    private volatile boolean stopping;

    private Daemon(long shutdownTimeoutMillis) {
        this.shutdownTimeoutMillis = shutdownTimeoutMillis;
    }

    /**
     * Starts the health server and all roles of the settings.
     *
     * @throws NodeException if a role or the health server cannot start; what had started is shut down
     */
    static Daemon start(Settings settings, RoleStarter starter) throws NodeException {
        Daemon daemon = new Daemon(settings.daemon().shutdownTimeoutMillis());
        MetricRegistry metrics = new MetricRegistry();
        try {
            daemon.health =
                    HealthServer.start(Fields.address(settings.health().listen(), "listen"), metrics, daemon::isReady);
        } catch (IOException e) {
            throw new NodeException(e.getMessage(), e);
        }
        try {
            for (Role role : START_ORDER) {
                if (settings.daemon().roles().contains(role)) {
                    daemon.nodes.add(0, starter.start(role, settings, metrics));
                }
            }
        } catch (NodeException e) {
            daemon.shutdown();
            throw e;
        }
        daemon.started = true;
        LOG.infof(
                "daemon: %s runs as %s",
                settings.daemon().id(), settings.daemon().roles());
        return daemon;
    }

    /** Returns whether every role can serve and no shutdown has begun. */
    boolean isReady() {
        return started && !stopping && nodes.stream().allMatch(Node::isReady);
    }

    /** Returns the port of the health server. */
    int healthPort() {
        return health.port();
    }

    /** Shuts the roles down gracefully; returns false if they took longer than the time limit. */
    boolean shutdown() {
        stopping = true;
        LOG.infof("daemon: Shutting down within %d ms", shutdownTimeoutMillis);
        ExecutorService worker = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "daemon-shutdown");
            thread.setDaemon(true);
            return thread;
        });
        boolean inTime = await(worker);
        worker.shutdownNow();
        LOG.infof("daemon: The shutdown is %s", inTime ? "complete" : "cut off by its time limit");
        return inTime;
    }

    private boolean await(ExecutorService worker) {
        try {
            worker.submit(this::stopAll).get(shutdownTimeoutMillis + SHUTDOWN_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            LOG.errorf(e.getCause(), "daemon: The shutdown failed");
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void stopAll() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(shutdownTimeoutMillis);
        for (Node node : nodes) {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            node.shutdown(Math.max(0, leftMillis));
        }
        try {
            health.stop();
        } catch (IOException e) {
            LOG.warnf(e, "daemon: The health server did not stop");
        }
    }
}
