package org.cicadahead.store;

import com.codahale.metrics.MetricRegistry;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadahead.fleet.DaemonPlace;
import org.cicadahead.fleet.FleetMessages;
import org.cicadahead.fleet.FleetRole;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.raft.Timing;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.watch.Addresses;
import org.cicadahead.watch.DaemonThreads;
import org.cicadahead.watch.FleetListener;
import org.cicadahead.watch.FleetWatch;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * The store role of a daemon. Safe for use by several threads.
 *
 * <p>A store with files takes part in its group at once. One without waits until the hubs tell who founds the group, or
 * who is in it. The first use is {@link #start(StoreConfig, MetricRegistry)}.
 */
public final class StoreNode implements Node {
    private static final String LOG_FOLDER = "turns";
    private static final long SEGMENT_BYTES = 8L * 1024 * 1024;
    private static final long SNAPSHOT_BYTES = 24L * 1024 * 1024;
    /** How often a stopped replica is tried again, in milliseconds. */
    private static final long REVIVE_MILLIS = 500;

    private static final int WORKERS = 4;

    private static final Logger LOG = Logger.getLogger("cicadahead.store");

    private final StoreConfig config;
    private final ExecutorService workers = Executors.newFixedThreadPool(WORKERS, DaemonThreads.named("store-worker"));
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("store-timer"));
    private final MessageCatalog catalog = ReplicatedNode.catalog(FleetMessages.catalog(MessageCatalog.standard()));
    private final StoreService service = new StoreService();
    private final Set<String> known = new TreeSet<>();
    private Set<String> retired = Set.of();
    private volatile TurnStateMachine machine = new TurnStateMachine();
    private ReplicatedNode log;
    private PeerServer server;
    private FleetWatch watch;
    private volatile boolean stopping;

    private StoreNode(StoreConfig config) {
        this.config = config;
    }

    /**
     * Starts the role.
     *
     * @param config the settings
     * @param metrics takes the counters
     * @return the running role
     * @throws NodeException if the data folder cannot be used or the address cannot be bound
     */
    public static StoreNode start(StoreConfig config, MetricRegistry metrics) throws NodeException {
        Objects.requireNonNull(config, "The config must not be null");
        StoreNode node = new StoreNode(config);
        try {
            node.begin(metrics);
            return node;
        } catch (ReplicationException e) {
            node.close();
            throw new NodeException("cannot start the replica", e);
        } catch (WireException e) {
            node.close();
            throw new NodeException("cannot serve daemons on " + config.address(), e);
        }
    }

    /**
     * Follows a change of the settings.
     *
     * @param hubs addresses of hubs
     */
    public void reseed(List<String> hubs) {
        watch.reseed(hubs);
    }

    @Override
    public synchronized boolean isReady() {
        return !stopping && log != null && log.failure() == null;
    }

    @Override
    public void shutdown(long timeoutMillis) {
        stopping = true;
        ReplicatedNode started;
        synchronized (this) {
            started = log;
        }
        if (started != null) {
            started.shutdown(timeoutMillis);
        }
        close();
        LOG.info("store: Stopped");
    }

    private void begin(MetricRegistry metrics) throws ReplicationException, WireException {
        server = PeerServer.start(Addresses.parse(config.address()), catalog, workers, service);
        Path folder = config.dataFolder().resolve(LOG_FOLDER);
        if (Files.isDirectory(folder)) {
            join(Set.of(), false);
        }
        watch = FleetWatch.start(
                new DaemonPlace(config.name(), FleetRole.STORE, config.zone(), config.address()),
                config.hubs(),
                catalog,
                timer,
                new HubListener());
        metrics.gauge("store.turns", () -> () -> machine.turns());
        metrics.gauge("store.budgets", () -> () -> machine.budgets());
        timer.scheduleWithFixedDelay(this::revive, REVIVE_MILLIS, REVIVE_MILLIS, TimeUnit.MILLISECONDS);
        LOG.infof("store: %s started at %s", config.name(), config.address());
    }

    private synchronized void join(Set<String> contacts, boolean founds) throws ReplicationException {
        Set<String> members = new TreeSet<>(contacts);
        if (founds) {
            members = Set.of(config.address());
        }
        ReplicationConfig replication = ReplicationConfig.of(
                        config.dataFolder().resolve(LOG_FOLDER),
                        config.address(),
                        members.stream().toList(),
                        founds)
                .withTiming(Timing.withinRegion())
                .withSizes(SEGMENT_BYTES, SNAPSHOT_BYTES)
                .withTargetVoters(2 * config.faultsTolerated() + 1);
        TurnStateMachine fresh = new TurnStateMachine();
        log = ReplicatedNode.start(replication, fresh, catalog);
        machine = fresh;
        service.serve(log, fresh);
        LOG.infof("store: Replica %s %s", log.id(), founds ? "founds the group" : "takes part in the group");
    }

    /** Starts a replica again that has stopped because its disk refused a write; it has lost nothing that is synced. */
    private synchronized void revive() {
        if (stopping || log == null || log.failure() == null) {
            return;
        }
        LOG.warnf(
                "store: The replica has stopped and is started again: %s",
                log.failure().getMessage());
        log.close();
        try {
            join(known, false);
            log.surroundings(known, retired);
        } catch (ReplicationException e) {
            LOG.warnf("store: The replica cannot start yet: %s", e.getMessage());
        }
    }

    private synchronized void updated(FleetUpdate update) {
        if (stopping) {
            return;
        }
        if (update.daemons() != null) {
            update.daemons().stream()
                    .filter(place -> place.role() == FleetRole.STORE)
                    .forEach(place -> known.add(place.address()));
        }
        if (update.retired() != null) {
            retired = Set.copyOf(update.retired());
        }
        try {
            if (log == null && !update.storeFounder().isEmpty()) {
                known.add(update.storeFounder());
                boolean founds = config.bootstrap() && update.storeFounder().equals(config.address());
                join(known, founds);
            }
        } catch (ReplicationException e) {
            LOG.errorf(e, "store: Cannot take part in the group: %s", e.getMessage());
            return;
        }
        if (log != null) {
            log.surroundings(known, retired);
        }
    }

    private synchronized void close() {
        timer.shutdownNow();
        if (watch != null) {
            watch.close();
        }
        if (server != null) {
            server.close();
        }
        if (log != null) {
            log.close();
        }
        workers.shutdownNow();
    }

    private final class HubListener implements FleetListener {

        @Override
        public void updated(String hub, FleetUpdate update) {
            StoreNode.this.updated(update);
        }

        @Override
        public void lost(String hub) {
            LOG.debugf("store: The hub at %s is not reached", hub);
        }
    }
}
