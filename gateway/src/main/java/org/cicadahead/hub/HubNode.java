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
import org.cicadahead.group.RestartableReplica;
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.placement.EndpointRegistry;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.site.SiteConfiguration;
import org.cicadahead.watch.FleetWatch;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.ControlClient;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * The hub role of a daemon. Safe for use by several threads.
 *
 * <p>Endpoints and operators reach it through the calls below, which an adapter maps from its protocol. The first use
 * is {@link #start(HubConfig, MetricRegistry)}.
 */
public final class HubNode implements Node {
    /** How long an operator's call may take, in milliseconds; callers move on after a second without an answer. */
    private static final long CALL_MILLIS = 900;
    /** How often heartbeats without a change are passed on, in milliseconds; a fraction of their interval. */
    private static final long ALIVE_MILLIS = 500;

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
        this.replica = RestartableReplica.of("hub", this::startReplica);
    }

    /**
     * Starts the role.
     *
     * @param config the settings
     * @param metrics takes the counters
     * @return the running role
     * @throws NodeException if the data folder cannot be used or the address cannot be bound
     */
    public static HubNode start(HubConfig config, MetricRegistry metrics) throws NodeException {
        Objects.requireNonNull(config, "The config must not be null");
        HubNode node = new HubNode(config);
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
     * Submits a configuration to the leader.
     *
     * @param site the configuration
     * @param source the document as the operator sent it
     * @return what is in force afterwards; fails with a {@link WireException} if that is not known
     */
    public CompletableFuture<SiteStored> submit(SiteConfiguration site, byte[] source) {
        return hubs.call(new SubmitSite(site, source), SiteStored.class, CALL_MILLIS);
    }

    /**
     * Reads the configuration in force from the leader.
     *
     * @return the configuration; fails with a {@link WireException} if nobody can be sure which it is
     */
    public CompletableFuture<SiteDocument> read() {
        return hubs.call(new ReadSite(), SiteDocument.class, CALL_MILLIS);
    }

    /**
     * Takes a heartbeat of an endpoint. When this returns, what has changed is on its way to all daemons that watch.
     *
     * @param heartbeat the heartbeat
     * @param nowMillis monotonic time in milliseconds
     */
    public void heartbeat(EndpointRecord heartbeat, long nowMillis) {
        watchers.heartbeat(heartbeat, nowMillis);
    }

    /**
     * Takes note that an endpoint has left.
     *
     * @param id its id
     * @param bornMillis when it started, in milliseconds since the epoch; 0 if it does not say
     * @param nowMillis monotonic time in milliseconds
     */
    public void left(String id, long bornMillis, long nowMillis) {
        watchers.heartbeat(new EndpointRecord(id, bornMillis, 0, "", "", "", 0, EndpointPhase.GONE, 0), nowMillis);
    }

    /**
     * Asks that a store is decommissioned.
     *
     * @param name the name of its VM
     * @return how far it is; fails with a {@link WireException} if that is not known
     */
    public CompletableFuture<DecommissionState> decommission(String name) {
        return hubs.call(new DecommissionStore(name, ""), DecommissionState.class, CALL_MILLIS);
    }

    /**
     * Asks how far the decommissioning of a store is.
     *
     * @param name the name of its VM
     * @return how far it is; fails with a {@link WireException} if that is not known
     */
    public CompletableFuture<DecommissionState> decommissionState(String name) {
        return hubs.call(new ReadDecommission(name), DecommissionState.class, CALL_MILLIS);
    }

    /**
     * Follows a change of the settings.
     *
     * @param hubs addresses of hubs
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

    private void begin(MetricRegistry metrics) throws ReplicationException, WireException {
        replica.start(config.bootstrap() && config.seeds().contains(config.address()));
        server = PeerServer.start(Addresses.parse(config.address()), catalog, workers, service);
        watch = FleetWatch.start(
                new DaemonPlace(config.name(), FleetRole.HUB, config.zone(), config.address()),
                config.seeds(),
                catalog,
                timer,
                this::updated);
        timer.scheduleWithFixedDelay(this::tick, ALIVE_MILLIS, ALIVE_MILLIS, TimeUnit.MILLISECONDS);
        metrics.gauge("hub.term", () -> () -> replica.node().counters().term());
        metrics.gauge("hub.commit_index", () -> () -> replica.node().counters().commitIndex());
        LOG.infof("hub: Replica %s started at %s", replica.node().id(), config.address());
    }

    private ReplicatedNode startReplica(boolean founds) throws ReplicationException {
        SiteStateMachine machine = new SiteStateMachine(watchers::agreed);
        ReplicationConfig replication = ReplicationConfig.withinRegion(
                config.dataFolder().resolve(LOG_FOLDER),
                config.address(),
                config.seeds(),
                founds,
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
            watchers.tellAlive(ReplicatedNode.monotonicMillis());
            service.foundStores();
        } catch (RuntimeException e) {
            LOG.errorf(e, "hub: The timer task failed");
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

    /** Learns of other hubs, so that the group and the calls to its leader find them. */
    private void updated(FleetUpdate update) {
        if (update.daemons() != null) {
            Set<String> known = new TreeSet<>(config.seeds());
            known.add(config.address());
            update.daemons().stream()
                    .filter(place -> place.role() == FleetRole.HUB)
                    .forEach(place -> known.add(place.address()));
            hubs.retarget(addresses(known));
            replica.node().surroundings(known, Set.of());
        }
    }
}
