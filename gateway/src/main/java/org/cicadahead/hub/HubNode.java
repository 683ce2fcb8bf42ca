package org.cicadahead.hub;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadahead.fleet.DaemonPlace;
import org.cicadahead.fleet.DecommissionState;
import org.cicadahead.fleet.DecommissionStore;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetMessages;
import org.cicadahead.fleet.FleetRole;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.fleet.ReadDecommission;
import org.cicadahead.fleet.ReadSite;
import org.cicadahead.fleet.ReadStoreMembers;
import org.cicadahead.fleet.SiteDocument;
import org.cicadahead.fleet.SiteStored;
import org.cicadahead.fleet.StoreMembers;
import org.cicadahead.fleet.SubmitSite;
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.placement.EndpointRegistry;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.replication.RestartableReplica;
import org.cicadahead.site.SiteConfiguration;
import org.cicadahead.watch.FleetWatch;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.ControlClient;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * The hub role of a daemon. Thread-safe.
 *
 * <p>An adapter maps the protocol of endpoints and operators to the methods below. Create a node with
 * {@link #start(HubConfig, MetricRegistry)}.
 */
public final class HubNode implements Node {
    /** The timeout of an operator's call, in milliseconds; below one second, after which callers try another hub. */
    private static final long CALL_MILLIS = 900;
    /**
     * The interval at which unchanged heartbeats are forwarded in batches, in milliseconds; a fraction of the heartbeat
     * interval.
     */
    private static final long FORWARD_INTERVAL_MILLIS = 500;

    private static final String LOG_FOLDER = "hub";
    private static final long SEGMENT_BYTES = 4L * 1024 * 1024;
    private static final long SNAPSHOT_BYTES = 8L * 1024 * 1024;
    private static final int WORKERS = 4;

    private static final Logger LOG = Logger.getLogger("cicadahead.hub");

    private final HubConfig config;
    private final ExecutorService workers = Executors.newFixedThreadPool(WORKERS, DaemonThreads.named("hub-worker"));
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("hub-timer"));
    private final MessageCatalog catalog = ReplicatedNode.catalog(FleetMessages.catalog(MessageCatalog.standard()));
    private final Watchers watchers;
    private final ControlClient hubs;
    private final HubService service;
    private final RestartableReplica replica;
    private PeerServer server;
    private FleetWatch watch;
    private ControlClient stores;
    private volatile boolean stopping;

    private HubNode(HubConfig config) {
        this.config = config;
        DaemonPlace self = new DaemonPlace(config.name(), FleetRole.HUB, config.zone(), config.address());
        this.watchers = new Watchers(self, EndpointRegistry.create(config.heartbeatIntervalMillis()), timer);
        this.hubs = ControlClient.to(addresses(config.seeds()), catalog);
        this.service = new HubService(
                watchers,
                this::storeMembers,
                ReplicationConfig.votersFor(config.faultsTolerated()),
                config.quotaTolerance(),
                ReplicatedNode::monotonicMillis);
        this.replica = RestartableReplica.of("hub", config.dataFolder().resolve(LOG_FOLDER), this::startReplica);
    }

    /**
     * Starts the role.
     *
     * @param config the settings
     * @param metrics the registry for the counters
     * @return the running role
     * @throws NodeException if the data folder cannot be used or the address cannot be bound
     */
    public static HubNode start(HubConfig config, MetricRegistry metrics) throws NodeException {
        Objects.requireNonNull(config, "The config must not be null");
        HubNode node = new HubNode(config);
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
     * Submits a configuration to the leader.
     *
     * @param site the configuration
     * @param source the document as the operator sent it
     * @return the version in force afterwards; fails with a {@link WireException} if the outcome is unknown
     */
    public CompletableFuture<SiteStored> submit(SiteConfiguration site, byte[] source) {
        return hubs.call(new SubmitSite(site, source), SiteStored.class, CALL_MILLIS);
    }

    /**
     * Reads the configuration in force from the leader.
     *
     * @return the configuration; fails with a {@link WireException} if no leader with a valid lease responds
     */
    public CompletableFuture<SiteDocument> read() {
        return hubs.call(new ReadSite(), SiteDocument.class, CALL_MILLIS);
    }

    /**
     * Processes a heartbeat of an endpoint. On return, any change is queued for all watching daemons.
     *
     * @param heartbeat the heartbeat
     * @param nowMillis monotonic time in milliseconds
     */
    public void heartbeat(EndpointRecord heartbeat, long nowMillis) {
        watchers.heartbeat(heartbeat, nowMillis);
    }

    /**
     * Records that an endpoint has departed.
     *
     * @param id its id
     * @param bornMillis its start time, in milliseconds since the epoch; 0 if not given
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordDeparture(String id, long bornMillis, long nowMillis) {
        watchers.heartbeat(new EndpointRecord(id, bornMillis, 0, "", "", "", 0, EndpointPhase.GONE, 0, ""), nowMillis);
    }

    /**
     * Starts the decommissioning of a store.
     *
     * @param name the name of its VM
     * @return the state of the decommissioning; fails with a {@link WireException} if it is unknown
     */
    public CompletableFuture<DecommissionState> decommission(String name) {
        return hubs.call(new DecommissionStore(name, ""), DecommissionState.class, CALL_MILLIS);
    }

    /**
     * Reads the state of the decommissioning of a store.
     *
     * @param name the name of its VM
     * @return the state of the decommissioning; fails with a {@link WireException} if it is unknown
     */
    public CompletableFuture<DecommissionState> decommissionState(String name) {
        return hubs.call(new ReadDecommission(name), DecommissionState.class, CALL_MILLIS);
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
        LOG.info("hub: Stopped");
    }

    private static List<InetSocketAddress> addresses(Iterable<String> texts) {
        Set<String> sorted = new TreeSet<>();
        texts.forEach(sorted::add);
        return sorted.stream().map(Addresses::parse).toList();
    }

    private void startServices(MetricRegistry metrics) throws ReplicationException, WireException {
        replica.start(config.bootstrap() && config.seeds().contains(config.address()));
        server = PeerServer.start(Addresses.parse(config.address()), catalog, workers, service);
        watch = FleetWatch.start(
                new DaemonPlace(config.name(), FleetRole.HUB, config.zone(), config.address()),
                config.seeds(),
                catalog,
                timer,
                this::applyUpdate);
        timer.scheduleWithFixedDelay(
                this::tick, FORWARD_INTERVAL_MILLIS, FORWARD_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        metrics.gauge("hub.term", () -> () -> replica.node().counters().term());
        metrics.gauge("hub.replica_out", () -> replica::out);
        metrics.gauge("hub.commit_index", () -> () -> replica.node().counters().commitIndex());
        LOG.infof("hub: Replica %s started at %s", replica.node().id(), config.address());
    }

    private ReplicatedNode startReplica(boolean bootstrap) throws ReplicationException {
        SiteStateMachine machine = new SiteStateMachine(watchers::stateChanged);
        ReplicationConfig replication = ReplicationConfig.withinRegion(
                config.dataFolder().resolve(LOG_FOLDER),
                config.address(),
                config.seeds(),
                bootstrap,
                SEGMENT_BYTES,
                SNAPSHOT_BYTES,
                config.faultsTolerated());
        ReplicatedNode started = ReplicatedNode.start(replication, machine, catalog);
        service.serve(started, machine);
        return started;
    }

    private void tick() {
        try {
            replica.restartIfFailed();
            watchers.broadcastAlive(ReplicatedNode.monotonicMillis());
            service.chooseBootstrapStore();
        } catch (RuntimeException e) {
            LOG.errorf(e, "hub: Timer task failed");
        }
    }

    private CompletableFuture<StoreMembers> storeMembers() {
        List<String> known = watchers.daemons(FleetRole.STORE).stream()
                .map(DaemonPlace::address)
                .toList();
        if (known.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new WireException(WireException.Kind.NOT_SENT, "no store is known", null));
        }
        return storeClient(known).call(new ReadStoreMembers(), StoreMembers.class, CALL_MILLIS);
    }

    private synchronized ControlClient storeClient(List<String> known) {
        if (stores == null) {
            stores = ControlClient.to(addresses(known), catalog);
        } else {
            stores.retarget(addresses(known));
        }
        return stores;
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
        if (stores != null) {
            stores.close();
        }
        hubs.close();
        workers.shutdownNow();
    }

    /**
     * Merges the endpoints that another hub reports, and passes the addresses of known hubs to the replica group and to
     * the client of the leader.
     */
    private void applyUpdate(FleetUpdate update) {
        watchers.merge(update, ReplicatedNode.monotonicMillis());
        if (update.daemons() != null) {
            Set<String> known = new TreeSet<>(config.seeds());
            known.add(config.address());
            update.daemons().stream()
                    .filter(place -> place.role() == FleetRole.HUB)
                    .forEach(place -> known.add(place.address()));
            hubs.retarget(addresses(known));
            replica.node().updateAddresses(known, Set.of());
        }
    }
}
