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
import org.cicadahead.fleet.DaemonPlace;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetRole;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.placement.EndpointRegistry;
import org.cicadahead.wire.Responder;
import org.jboss.logging.Logger;

/**
 * The daemons that follow a hub, and what the hub tells them. Safe for use by several threads.
 *
 * <p>One lock guards the endpoints and the order of updates, so that each watcher sees all changes after its first
 * update; sending only queues the update.
 */
final class Watchers {
    /** A watcher with more bytes unread than this is dropped, so that it does not fill the memory; it comes again. */
    private static final long MAX_QUEUED_BYTES = 4L * 1024 * 1024;

    /**
     * Changes of the daemons are told together after this time, in milliseconds: when all start at once, each is one
     * of as many changes as there are daemons, and each is told to all.
     */
    private static final long GATHER_MILLIS = 60;

    private static final Logger LOG = Logger.getLogger("cicadahead.hub");

    private final DaemonPlace self;
    private final EndpointRegistry roster;
    private final ScheduledExecutorService timer;
    private final Map<Responder, DaemonPlace> watchers = new LinkedHashMap<>();
    private final Set<String> alive = new TreeSet<>();
    private SiteState state = SiteState.EMPTY;
    private boolean gathering;

    Watchers(DaemonPlace self, EndpointRegistry roster, ScheduledExecutorService timer) {
        this.self = self;
        this.roster = roster;
        this.timer = timer;
    }

    /** Begins to tell a daemon. */
    void add(DaemonPlace daemon, Responder responder) {
        synchronized (this) {
            watchers.values().removeIf(other -> other.equals(daemon));
            watchers.put(responder, daemon);
            FleetUpdate whole = new FleetUpdate(
                    state.site(),
                    roster.records(),
                    List.of(),
                    daemons(),
                    state.storeFounder(),
                    List.copyOf(state.decommissioned().values()));
            responder.part(daemon.role() == FleetRole.ENTRY ? whole : whole.withoutSite());
            daemonsChanged();
        }
        LOG.infof("hub: %s %s watches", daemon.role(), daemon.name());
        responder.onCancel(() -> remove(responder));
    }

    /** Takes a heartbeat of an endpoint; tells at once what has changed. */
    synchronized void heartbeat(EndpointRecord heartbeat, long nowMillis) {
        if (roster.heard(heartbeat, nowMillis)) {
            EndpointRecord merged = roster.find(heartbeat.id()).record();
            tell(FleetUpdate.of(merged));
        } else {
            alive.add(heartbeat.id());
        }
    }

    /** Tells which endpoints have sent a heartbeat since the last time. */
    synchronized void tellAlive(long nowMillis) {
        if (!alive.isEmpty()) {
            tell(FleetUpdate.ofAlive(alive));
            alive.clear();
        }
        roster.forget(nowMillis);
    }

    /** Tells a change of what the hubs agree on. */
    synchronized void agreed(SiteState next) {
        SiteState before = state;
        if (next.version() < before.version()) {
            // A replica that is started again passes through older states.
            return;
        }
        state = next;
        boolean decommissioned = !next.decommissioned().equals(before.decommissioned());
        tell(new FleetUpdate(
                next.version() > before.version() ? next.site() : null,
                null,
                null,
                null,
                next.storeFounder(),
                decommissioned ? List.copyOf(next.decommissioned().values()) : null));
    }

    /** Returns the daemons of a role that watch. */
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
            DaemonPlace gone = watchers.remove(responder);
            if (gone == null) {
                return;
            }
            LOG.infof("hub: %s %s does not watch any more", gone.role(), gone.name());
            daemonsChanged();
        }
    }

    private void daemonsChanged() {
        if (gathering) {
            return;
        }
        try {
            timer.schedule(this::tellDaemons, GATHER_MILLIS, TimeUnit.MILLISECONDS);
            gathering = true;
        } catch (RejectedExecutionException e) {
            LOG.debugf("hub: Nobody is told of daemons, as this hub closes: %s", e.getMessage());
        }
    }

    private synchronized void tellDaemons() {
        gathering = false;
        tell(FleetUpdate.ofDaemons(daemons()));
    }

    /** Only entries act on the configuration. */
    private void tell(FleetUpdate update) {
        FleetUpdate rest = update.withoutSite();
        new LinkedHashMap<>(watchers).forEach((responder, daemon) -> {
            if (!watchers.containsKey(responder)) {
                return;
            }
            if (responder.queuedBytes() > MAX_QUEUED_BYTES) {
                LOG.warnf("hub: %s reads too slowly and is dropped", daemon.name());
                watchers.remove(responder);
                responder.fail("the watcher reads too slowly");
            } else {
                responder.part(daemon.role() == FleetRole.ENTRY ? update : rest);
            }
        });
    }
}
