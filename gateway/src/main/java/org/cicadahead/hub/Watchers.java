package org.cicadahead.hub;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cicadahead.fleet.CrashEvidence;
import org.cicadahead.fleet.DaemonPlace;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetRole;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.placement.EndpointRegistry;
import org.cicadahead.quarantine.CrashTable;
import org.cicadahead.wire.Responder;
import org.jboss.logging.Logger;

/**
 * The daemons that watch a hub, and the updates sent to them. Thread-safe.
 *
 * <p>One lock guards the endpoints and the order of updates, so that each watcher receives all changes after its first
 * update. Sending only queues an update and does not block.
 */
final class Watchers {
    /**
     * The maximum size of a watcher's queue, in bytes. A watcher that reads too slowly is dropped to limit the memory
     * used; it reconnects on its own.
     */
    private static final long MAX_QUEUED_BYTES = 4L * 1024 * 1024;

    /**
     * The delay for which changes of the daemons are batched, in milliseconds. Without it, n daemons that start
     * together would cause n updates to each of n watchers.
     */
    private static final long BATCH_MILLIS = 60;

    private static final Logger LOG = Logger.getLogger("cicadahead.hub");

    private final DaemonPlace self;
    private final EndpointRegistry registry;
    private final ScheduledExecutorService timer;
    private final Map<Responder, DaemonPlace> watchers = new LinkedHashMap<>();
    private final Set<String> alive = new TreeSet<>();
    private final CrashTable crashes = CrashTable.create();
    private SiteState state = SiteState.EMPTY;
    private boolean broadcastScheduled;

    Watchers(DaemonPlace self, EndpointRegistry registry, ScheduledExecutorService timer) {
        this.self = self;
        this.registry = registry;
        this.timer = timer;
    }

    /** Adds a watcher and sends it a complete update. */
    void add(DaemonPlace daemon, Responder responder, long nowMillis) {
        synchronized (this) {
            watchers.values().removeIf(other -> other.equals(daemon));
            watchers.put(responder, daemon);
            FleetUpdate fullUpdate = new FleetUpdate(
                    state.site(),
                    registry.currentRecords(nowMillis),
                    List.of(),
                    daemons(),
                    state.storeFounder(),
                    List.copyOf(state.decommissioned().values()),
                    crashes.evidence(nowMillis));
            responder.part(daemon.role() == FleetRole.ENTRY ? fullUpdate : fullUpdate.withoutSite());
            scheduleBroadcast();
        }
        LOG.infof("hub: Added the watcher %s %s", daemon.role(), daemon.name());
        responder.onCancel(() -> remove(responder));
    }

    /** Processes a heartbeat of an endpoint; a change is broadcast at once, other heartbeats are batched. */
    synchronized void heartbeat(EndpointRecord heartbeat, long nowMillis) {
        if (registry.applyHeartbeat(heartbeat, nowMillis)) {
            EndpointRecord merged = registry.find(heartbeat.id()).record();
            broadcast(FleetUpdate.of(merged));
        } else {
            alive.add(heartbeat.id());
        }
    }

    /**
     * Merges what another hub reports of endpoints, so that a daemon that starts later learns from this hub as well
     * which endpoints have departed, also after a restart of the hub that was told. Changes are passed on to entries,
     * which may not be connected to the other hub, but not to hubs, which are.
     */
    synchronized void merge(FleetUpdate reported, long nowMillis) {
        for (EndpointRecord each : reported.endpoints()) {
            if (registry.applyHeartbeat(each, nowMillis)) {
                FleetUpdate update = FleetUpdate.of(registry.find(each.id()).record());
                broadcast(update, watcher -> watcher.role() == FleetRole.ENTRY);
            }
        }
        reported.alive().forEach(id -> registry.refresh(id, nowMillis));
        broadcastCrashes(reported.crashes(), watcher -> watcher.role() == FleetRole.ENTRY, nowMillis);
    }

    /** Merges what an entry reports of requests that may have crashed endpoints, and passes on what is new. */
    synchronized void crashesReported(List<CrashEvidence> reported, long nowMillis) {
        broadcastCrashes(reported, watcher -> watcher.role() != FleetRole.STORE, nowMillis);
    }

    private void broadcastCrashes(List<CrashEvidence> reported, Predicate<DaemonPlace> receivers, long nowMillis) {
        List<CrashEvidence> added = reported.stream()
                .filter(evidence -> crashes.add(evidence, nowMillis))
                .toList();
        if (!added.isEmpty()) {
            broadcast(FleetUpdate.ofCrashes(added), receivers);
        }
    }

    /** Broadcasts the ids of the endpoints with unchanged heartbeats since the last call. */
    synchronized void broadcastAlive(long nowMillis) {
        if (!alive.isEmpty()) {
            broadcast(FleetUpdate.ofAlive(alive));
            alive.clear();
        }
        registry.evictExpired(nowMillis);
        crashes.expire(nowMillis);
    }

    /** Broadcasts a change of the replicated state. */
    synchronized void stateChanged(SiteState next) {
        SiteState before = state;
        if (next.version() < before.version()) {
            // A restarted replica replays older states.
            return;
        }
        state = next;
        boolean decommissioned = !next.decommissioned().equals(before.decommissioned());
        broadcast(new FleetUpdate(
                next.version() > before.version() ? next.site() : null,
                null,
                null,
                null,
                next.storeFounder(),
                decommissioned ? List.copyOf(next.decommissioned().values()) : null,
                null));
    }

    /** Returns the watching daemons of a role. */
    synchronized List<DaemonPlace> daemons(FleetRole role) {
        return watchers.values().stream()
                .filter(place -> place.role() == role)
                .distinct()
                .toList();
    }

    private List<DaemonPlace> daemons() {
        List<DaemonPlace> all = new ArrayList<>(watchers.values());
        all.add(self);
        return all.stream().distinct().toList();
    }

    private void remove(Responder responder) {
        synchronized (this) {
            DaemonPlace removed = watchers.remove(responder);
            if (removed == null) {
                return;
            }
            LOG.infof("hub: Removed the watcher %s %s", removed.role(), removed.name());
            scheduleBroadcast();
        }
    }

    private void scheduleBroadcast() {
        if (broadcastScheduled) {
            return;
        }
        try {
            timer.schedule(this::broadcastDaemons, BATCH_MILLIS, TimeUnit.MILLISECONDS);
            broadcastScheduled = true;
        } catch (RejectedExecutionException e) {
            LOG.debugf("hub: Skipped an update of the daemons because the hub is closing: %s", e.getMessage());
        }
    }

    private synchronized void broadcastDaemons() {
        broadcastScheduled = false;
        broadcast(FleetUpdate.ofDaemons(daemons()));
    }

    /** Sends an update to all watchers. The configuration is sent only to entries, as no other role uses it. */
    private void broadcast(FleetUpdate update) {
        broadcast(update, watcher -> true);
    }

    private void broadcast(FleetUpdate update, Predicate<DaemonPlace> receivers) {
        FleetUpdate updateWithoutSite = update.withoutSite();
        new LinkedHashMap<>(watchers).forEach((responder, daemon) -> {
            if (!watchers.containsKey(responder) || !receivers.test(daemon)) {
                return;
            }
            if (responder.queuedBytes() > MAX_QUEUED_BYTES) {
                LOG.warnf("hub: Dropped %s because it reads too slowly", daemon.name());
                watchers.remove(responder);
                responder.fail("the watcher reads too slowly");
            } else {
                responder.part(daemon.role() == FleetRole.ENTRY ? update : updateWithoutSite);
            }
        });
    }
}
