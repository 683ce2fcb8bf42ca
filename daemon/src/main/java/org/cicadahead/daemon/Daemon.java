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

/** Runs the roles of one process and their health server. Thread-safe. */
final class Daemon {
    private static final Logger LOG = Logger.getLogger("cicadahead.daemon");
    /** Additional time to close resources after the time limit for finishing requests, in milliseconds. */
    private static final long SHUTDOWN_MARGIN_MILLIS = 2_000;
    /** Nodes stop in reverse order, control last: an entry in the same process needs it to finish requests. */
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
     * Starts the health server and all configured roles.
     *
     * @throws NodeException if a role or the health server cannot start; whatever has started is shut down
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

    /** Returns whether startup is complete, every role is ready and no shutdown has begun. */
    boolean isReady() {
        return started && !stopping && nodes.stream().allMatch(Node::isReady);
    }

    /** Returns the port on which the health server listens. */
    int healthPort() {
        return health.port();
    }

    /** Shuts the roles down gracefully; returns false if this failed, was interrupted or exceeded the time limit. */
    boolean shutdown() {
        stopping = true;
        LOG.infof("daemon: Shutting down within %d ms", shutdownTimeoutMillis);
        ExecutorService shutdownExecutor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "daemon-shutdown");
            thread.setDaemon(true);
            return thread;
        });
        boolean inTime = awaitShutdown(shutdownExecutor);
        shutdownExecutor.shutdownNow();
        LOG.infof("daemon: The shutdown is %s", inTime ? "complete" : "cut off by its time limit");
        return inTime;
    }

    private boolean awaitShutdown(ExecutorService shutdownExecutor) {
        try {
            shutdownExecutor
                    .submit(this::stopNodes)
                    .get(shutdownTimeoutMillis + SHUTDOWN_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
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

    private void stopNodes() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(shutdownTimeoutMillis);
        for (Node node : nodes) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            node.shutdown(Math.max(0, remainingMillis));
        }
        try {
            health.stop();
        } catch (IOException e) {
            LOG.warnf(e, "daemon: Failed to stop the health server");
        }
    }
}
