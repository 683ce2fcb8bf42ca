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
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.replication.RestartableReplica;
import org.cicadahead.watch.FleetWatch;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * The store role of a daemon. Thread-safe.
 *
 * <p>A store with existing files joins its group at once. A store without files waits until the hubs report which store
 * bootstraps the group. Create a node with {@link #start(StoreConfig, MetricRegistry)}.
 */
public final class StoreNode implements Node {
    private static final String LOG_FOLDER = "turns";
    private static final long SEGMENT_BYTES = 8L * 1024 * 1024;
    private static final long SNAPSHOT_BYTES = 24L * 1024 * 1024;
    /** The interval at which the replica is checked and, if it has failed, restarted, in milliseconds. */
    private static final long RESTART_MILLIS = 500;

    private static final int WORKERS = 4;

    private static final Logger LOG = Logger.getLogger("cicadahead.store");

    private final StoreConfig config;
    private final ExecutorService workers = Executors.newFixedThreadPool(WORKERS, DaemonThreads.named("store-worker"));
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("store-timer"));
    private final MessageCatalog catalog = ReplicatedNode.catalog(FleetMessages.catalog(MessageCatalog.standard()));
    private final StoreService service = new StoreService();
    private final Set<String> storeAddresses = new TreeSet<>();
    private final RestartableReplica replica;
    private Set<String> decommissioned = Set.of();
    private volatile TurnStateMachine machine = new TurnStateMachine();
    private PeerServer server;
    private FleetWatch watch;
    private volatile boolean stopping;

    private StoreNode(StoreConfig config) {
        this.config = config;
        this.replica = RestartableReplica.of("store", config.dataFolder().resolve(LOG_FOLDER), this::startReplica);
    }

    /**
     * Starts the role.
     *
     * @param config the settings
     * @param metrics the registry for the counters
     * @return the running role
     * @throws NodeException if the data folder cannot be used or the address cannot be bound
     */
    public static StoreNode start(StoreConfig config, MetricRegistry metrics) throws NodeException {
        Objects.requireNonNull(config, "The config must not be null");
        StoreNode node = new StoreNode(config);
        try {
            node.startServices(metrics);
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
     * Replaces the seed addresses of the hubs after a change of the settings.
     *
     * @param hubs the addresses of the hubs
     */
    public void updateSeeds(List<String> hubs) {
        watch.updateSeeds(hubs);
    }

    @Override
    public boolean isReady() {
        return !stopping && replica.isRunning();
    }

    @Override
    public void shutdown(long timeoutMillis) {
        stopping = true;
        replica.shutdown(timeoutMillis);
        close();
        LOG.info("store: Stopped");
    }

    private void startServices(MetricRegistry metrics) throws ReplicationException, WireException {
        server = PeerServer.start(Addresses.parse(config.address()), catalog, workers, service);
        Path folder = config.dataFolder().resolve(LOG_FOLDER);
        if (Files.isDirectory(folder)) {
            replica.start(false);
        }
        watch = FleetWatch.start(
                new DaemonPlace(config.name(), FleetRole.STORE, config.zone(), config.address()),
                config.hubs(),
                catalog,
                timer,
                this::applyUpdate);
        metrics.gauge("store.turns", () -> () -> machine.turns());
        metrics.gauge("store.replica_out", () -> replica::out);
        metrics.gauge("store.budgets", () -> () -> machine.budgets());
        timer.scheduleWithFixedDelay(replica::restartIfFailed, RESTART_MILLIS, RESTART_MILLIS, TimeUnit.MILLISECONDS);
        LOG.infof("store: %s started at %s", config.name(), config.address());
    }

    private synchronized ReplicatedNode startReplica(boolean bootstrap) throws ReplicationException {
        ReplicationConfig replication = ReplicationConfig.withinRegion(
                config.dataFolder().resolve(LOG_FOLDER),
                config.address(),
                bootstrap ? List.of(config.address()) : List.copyOf(storeAddresses),
                bootstrap,
                SEGMENT_BYTES,
                SNAPSHOT_BYTES,
                config.faultsTolerated());
        TurnStateMachine newMachine = new TurnStateMachine();
        ReplicatedNode started = ReplicatedNode.start(replication, newMachine, catalog);
        machine = newMachine;
        service.serve(started, newMachine);
        started.updateAddresses(storeAddresses, decommissioned);
        LOG.infof("store: Replica %s %s", started.id(), bootstrap ? "bootstraps the group" : "joins the group");
        return started;
    }

    private synchronized void applyUpdate(FleetUpdate update) {
        if (stopping) {
            return;
        }
        if (update.daemons() != null) {
            update.daemons().stream()
                    .filter(place -> place.role() == FleetRole.STORE)
                    .forEach(place -> storeAddresses.add(place.address()));
        }
        if (update.decommissioned() != null) {
            decommissioned = Set.copyOf(update.decommissioned());
        }
        if (replica.node() != null) {
            replica.node().updateAddresses(storeAddresses, decommissioned);
        } else if (!update.storeFounder().isEmpty()) {
            storeAddresses.add(update.storeFounder());
            join(config.bootstrap() && update.storeFounder().equals(config.address()));
        }
    }

    private void join(boolean bootstrap) {
        try {
            replica.start(bootstrap);
        } catch (ReplicationException e) {
            LOG.errorf(e, "store: Could not join the group: %s", e.getMessage());
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
        replica.close();
        workers.shutdownNow();
    }
}
