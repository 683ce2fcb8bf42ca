package org.cicadahead.hub;

import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.cicadahead.fleet.ConfirmFleet;
import org.cicadahead.fleet.DaemonPlace;
import org.cicadahead.fleet.DecommissionState;
import org.cicadahead.fleet.DecommissionStore;
import org.cicadahead.fleet.FleetRole;
import org.cicadahead.fleet.FoundStores;
import org.cicadahead.fleet.QuotaShares;
import org.cicadahead.fleet.ReadDecommission;
import org.cicadahead.fleet.ReadSite;
import org.cicadahead.fleet.ReportCrashes;
import org.cicadahead.fleet.RequestQuota;
import org.cicadahead.fleet.SiteDocument;
import org.cicadahead.fleet.SubmitSite;
import org.cicadahead.fleet.WatchFleet;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.NotLeader;
import org.cicadahead.quota.QuotaTable;
import org.cicadahead.quota.QuotaTolerance;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.site.SiteConfiguration;
import org.cicadahead.site.SiteOrganisation;
import org.cicadahead.wire.PeerHandler;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * Handles the requests of other daemons to a hub. A follower responds with {@link NotLeader} to requests that need the
 * leader. Thread-safe.
 */
final class HubService implements PeerHandler {
    private static final Logger LOG = Logger.getLogger("cicadahead.hub");

    private final Watchers watchers;
    private final StoreGroup stores;
    private final LongSupplier clock;
    private final int minStores;
    private final QuotaTolerance quotaTolerance;
    private final Object quotaLock = new Object();
    private volatile ReplicatedNode node;
    private volatile SiteStateMachine machine;
    private QuotaTable quotas;
    private long quotaTerm = -1;
    private SiteConfiguration limitsSource;
    private Map<String, SiteOrganisation> limits = Map.of();

    HubService(Watchers watchers, StoreGroup stores, int minStores, QuotaTolerance quotaTolerance, LongSupplier clock) {
        this.watchers = watchers;
        this.stores = stores;
        this.minStores = minStores;
        this.quotaTolerance = quotaTolerance;
        this.clock = clock;
    }

    /** Sets the replica and the state machine that requests are passed to. */
    void serve(ReplicatedNode started, SiteStateMachine state) {
        machine = state;
        node = started;
    }

    @Override
    public void handle(Message request, Responder responder) throws WireException {
        if (node == null) {
            throw new WireException(WireException.Kind.REMOTE, "the hub is starting");
        }
        if (ReplicatedNode.handles(request)) {
            node.handle(request, responder);
        } else if (request instanceof WatchFleet watch) {
            watchers.add(watch.daemon(), responder, clock.getAsLong());
        } else if (request instanceof ConfirmFleet) {
            responder.reply(Done.ok());
        } else if (request instanceof ReportCrashes report) {
            watchers.crashesReported(report.crashes(), clock.getAsLong());
            responder.reply(Done.ok());
        } else if (!node.holdsLease(clock.getAsLong())) {
            responder.reply(new NotLeader(node.leaderAddress()));
        } else {
            handleAsLeader(request, responder);
        }
    }

    /** Proposes a known store to bootstrap the group of stores, if none has been chosen. */
    void chooseBootstrapStore() {
        if (!machine.state().storeFounder().isEmpty() || !node.holdsLease(clock.getAsLong())) {
            return;
        }
        List<DaemonPlace> known = watchers.daemons(FleetRole.STORE);
        if (!known.isEmpty()) {
            String address = known.get(0).address();
            LOG.infof("hub: Proposing the store at %s to bootstrap the group of stores", address);
            node.propose(new FoundStores(address)).whenComplete((done, failure) -> {
                if (failure != null) {
                    LOG.warnf("hub: Could not commit the choice of the bootstrap store: %s", failure.getMessage());
                }
            });
        }
    }

    private void handleAsLeader(Message request, Responder responder) throws WireException {
        if (request instanceof SubmitSite submitted) {
            submit(submitted, responder);
        } else if (request instanceof ReadSite) {
            read(responder);
        } else if (request instanceof RequestQuota quotaRequest) {
            grant(quotaRequest, responder);
        } else if (request instanceof DecommissionStore decommission) {
            decommission(decommission, responder);
        } else if (request instanceof ReadDecommission read) {
            decommissionState(read.name(), responder);
        } else {
            throw new WireException(WireException.Kind.REMOTE, "unexpected " + request.getClass());
        }
    }

    /**
     * Proposes a configuration. If its version is outdated and the lease is valid, replies with the current version
     * without writing a log entry.
     */
    private void submit(SubmitSite submitted, Responder responder) {
        SiteState before = machine.state();
        if (submitted.site().version() <= before.version() && node.holdsLease(clock.getAsLong())) {
            responder.reply(before.toReply(before));
            return;
        }
        responder.replyWith(node.propose(submitted));
    }

    private void read(Responder responder) {
        long term = node.term();
        SiteState state = machine.state();
        if (node.holdsLease(clock.getAsLong()) && node.term() == term) {
            responder.reply(new SiteDocument(state.version(), state.source()));
        } else {
            responder.reply(new NotLeader(node.leaderAddress()));
        }
    }

    private void grant(RequestQuota request, Responder responder) {
        long now = clock.getAsLong();
        QuotaShares reply;
        synchronized (quotaLock) {
            if (quotaTerm != node.term()) {
                quotaTerm = node.term();
                quotas = QuotaTable.create(node.leadingSinceMillis(), quotaTolerance);
            }
            reply = new QuotaShares(
                    QuotaTable.LEASE_MILLIS, quotas.grant(request.entry(), request.needs(), limits(), now));
        }
        responder.reply(node.holdsLease(clock.getAsLong()) ? reply : new NotLeader(node.leaderAddress()));
    }

    /** Returns the configured organisations by name; the map is cached per configuration. */
    private Map<String, SiteOrganisation> limits() {
        SiteConfiguration site = machine.state().site();
        if (site != limitsSource) {
            limitsSource = site;
            limits = site == null ? Map.of() : site.organisationsByName();
        }
        return limits;
    }

    private void decommission(DecommissionStore request, Responder responder) {
        Map<String, String> decommissioned = machine.state().decommissioned();
        List<DaemonPlace> known = watchers.daemons(FleetRole.STORE);
        DaemonPlace store = known.stream()
                .filter(place -> place.name().equals(request.name()))
                .findFirst()
                .orElse(null);
        if (decommissioned.containsKey(request.name())) {
            responder.reply(new DecommissionState(DecommissionState.Phase.RUNNING));
        } else if (store == null) {
            responder.reply(new DecommissionState(DecommissionState.Phase.UNKNOWN));
        } else if (known.stream()
                                .filter(place -> !decommissioned.containsValue(place.address()))
                                .count()
                        - 1
                < minStores) {
            responder.reply(new DecommissionState(DecommissionState.Phase.TOO_FEW));
        } else {
            LOG.infof("hub: Decommissioning the store %s at %s", store.name(), store.address());
            responder.replyWith(node.propose(new DecommissionStore(store.name(), store.address())));
        }
    }

    private void decommissionState(String name, Responder responder) {
        String address = machine.state().decommissioned().get(name);
        if (address == null) {
            responder.reply(new DecommissionState(DecommissionState.Phase.UNKNOWN));
            return;
        }
        stores.members().whenComplete((members, failure) -> {
            if (failure != null) {
                LOG.warnf("hub: Could not read the members of the group of stores: %s", failure.getMessage());
                responder.reply(new DecommissionState(DecommissionState.Phase.UNCERTAIN));
            } else {
                boolean left = !members.addresses().contains(address);
                responder.reply(new DecommissionState(
                        left ? DecommissionState.Phase.COMPLETED : DecommissionState.Phase.RUNNING));
            }
        });
    }
}
