package org.cicadahead.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cicadahead.model.Key;
import org.cicadahead.model.KeyDigest;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.Pool;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.Resource;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.model.Route;
import org.cicadahead.model.RouteName;
import org.cicadahead.protocol.ConfigurationDelta;
import org.cicadahead.protocol.PoisonEntry;
import org.cicadahead.protocol.PoisonTable;
import org.cicadahead.protocol.ResourceChange;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.wire.Codec;
import org.jboss.logging.Logger;

/**
 * A copy of the configuration and of the poison table, as last received from control. Thread-safe. No other lock is
 * acquired while its monitor is held.
 */
final class ConfigurationReplica {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");

    private final Map<ResourceKind, Map<String, Resource>> resources = new EnumMap<>(ResourceKind.class);
    private Map<RequestDigest, PoisonEntry> poison = Map.of();
    private long revision;
    private long poisonVersion;
    private long leaseUntilMillis = Long.MIN_VALUE;

    ConfigurationReplica() {
        clear();
    }

    /**
     * Applies a sync reply of control.
     *
     * @param reply the reply
     * @param sentMillis monotonic time in milliseconds at which the request was sent, from which the lease is measured
     * @return true if the configuration changed
     */
    synchronized boolean apply(SyncReply reply, long sentMillis) {
        ConfigurationDelta delta = reply.configuration();
        if (delta != null && delta.revision() < revision) {
            // The reply to an older sync may arrive late; only the reply to a newer one must not go back in revision.
            if (sentMillis + reply.leaseMillis() > leaseUntilMillis) {
                LOG.errorf(
                        "entry: Ignoring configuration revision %d, which is older than revision %d",
                        delta.revision(), revision);
            }
            return false;
        }
        boolean changed = delta != null && delta.revision() > revision && apply(delta);
        PoisonTable table = reply.poison();
        if (table != null && table.version() > poisonVersion) {
            Map<RequestDigest, PoisonEntry> newPoison = new HashMap<>();
            table.entries().forEach(entry -> newPoison.put(entry.digest(), entry));
            poison = newPoison;
            poisonVersion = table.version();
        }
        leaseUntilMillis = Math.max(leaseUntilMillis, sentMillis + reply.leaseMillis());
        return changed;
    }

    synchronized boolean isLeased(long nowMillis) {
        return nowMillis < leaseUntilMillis;
    }

    synchronized long revision() {
        return revision;
    }

    synchronized long poisonVersion() {
        return poisonVersion;
    }

    synchronized Optional<PoisonEntry> poison(RequestDigest digest) {
        // The expiry is in wall-clock time of the leader. Expired entries may stay in the table until its next change.
        return Optional.ofNullable(poison.get(digest))
                .filter(entry -> entry.untilMillis() > System.currentTimeMillis());
    }

    Optional<Route> route(RouteName name) {
        return find(ResourceKind.ROUTE, name.value(), Route.class);
    }

    Optional<Pool> pool(PoolName name) {
        return find(ResourceKind.POOL, name.value(), Pool.class);
    }

    Optional<Organisation> organisation(OrganisationId name) {
        return find(ResourceKind.ORGANISATION, name.value(), Organisation.class);
    }

    Optional<Key> key(KeyDigest digest) {
        return find(ResourceKind.KEY, digest.value(), Key.class);
    }

    private synchronized <T extends Resource> Optional<T> find(ResourceKind kind, String name, Class<T> type) {
        return Optional.ofNullable(type.cast(resources.get(kind).get(name)));
    }

    /**
     * Applies a delta. All changes are decoded before any is applied, so that an invalid one leaves the replica
     * unchanged.
     */
    private boolean apply(ConfigurationDelta delta) {
        Map<ResourceChange, Resource> decoded = new HashMap<>();
        try {
            for (ResourceChange change : delta.changes()) {
                if (change.body() != null && !change.body().isNull()) {
                    decoded.put(
                            change,
                            Codec.json()
                                    .treeToValue(change.body(), change.kind().type()));
                }
            }
        } catch (JsonProcessingException e) {
            LOG.errorf(e, "entry: Failed to decode configuration revision %d", delta.revision());
            return false;
        }
        if (delta.full()) {
            clear();
        }
        for (ResourceChange change : delta.changes()) {
            if (!delta.full() && change.revision() <= revision) {
                continue;
            }
            Resource resource = decoded.get(change);
            if (resource == null) {
                resources.get(change.kind()).remove(change.name());
            } else {
                resources.get(change.kind()).put(change.name(), resource);
            }
        }
        revision = delta.revision();
        return true;
    }

    private void clear() {
        for (ResourceKind kind : ResourceKind.values()) {
            resources.put(kind, new HashMap<>());
        }
    }
}
