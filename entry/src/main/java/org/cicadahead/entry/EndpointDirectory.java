package org.cicadahead.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.EndpointsDelta;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.routing.ChoiceRequest;
import org.cicadahead.routing.EndpointChooser;
import org.cicadahead.routing.RetryBudget;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.PeerClient;

/**
 * The known endpoints, the connections to them and the retry budget. Thread-safe. No other lock is acquired while its
 * monitor is held.
 */
final class EndpointDirectory {
    /** Maximum ratio of retries to requests. */
    private static final double RETRY_SHARE = 0.2;

    private static final double MIN_RETRIES_PER_SECOND = 10;

    /**
     * How long the connection to a removed endpoint is kept, in milliseconds; longer than the usual request deadlines.
     */
    private static final long CONNECTION_RETENTION_MILLIS = 1_800_000;

    private final EndpointChooser chooser;
    private final RetryBudget retryBudget = RetryBudget.create(RETRY_SHARE, MIN_RETRIES_PER_SECOND);
    private final Map<String, PeerClient> peers = new ConcurrentHashMap<>();
    private final Map<String, Long> removedAtMillis = new HashMap<>();
    private final LongSupplier clock;

    EndpointDirectory(ZoneName zone, LongSupplier clock) {
        this.chooser = EndpointChooser.create(zone, new SplittableRandom());
        this.clock = clock;
    }

    void apply(EndpointsDelta delta) {
        Set<String> knownAddresses;
        synchronized (this) {
            chooser.apply(delta, clock.getAsLong());
            knownAddresses = chooser.addresses();
            peers.keySet().forEach(address -> removedAtMillis.putIfAbsent(address, clock.getAsLong()));
            removedAtMillis.keySet().removeAll(knownAddresses);
        }
        closeUnused();
    }

    synchronized long epoch() {
        return chooser.epoch();
    }

    synchronized long version() {
        return chooser.version();
    }

    synchronized Optional<Announcement> choose(ChoiceRequest request) {
        return chooser.choose(request, clock.getAsLong());
    }

    synchronized void report(EndpointId endpoint, EndpointLoad load) {
        chooser.report(endpoint, load, clock.getAsLong());
    }

    synchronized void completed(EndpointId endpoint, ProgramKey program, ProgramKey root, long tokens) {
        chooser.completed(endpoint, program, root, tokens);
    }

    synchronized void failed(EndpointId endpoint, RefusalReason reason) {
        chooser.failed(endpoint, RetryPolicy.isFault(reason), clock.getAsLong());
        if (reason == RefusalReason.ENDPOINT_LEAVING) {
            chooser.markLeaving(endpoint);
        }
    }

    synchronized List<Announcement> stale(long maxAgeMillis, int limit) {
        return chooser.stale(maxAgeMillis, limit, clock.getAsLong());
    }

    synchronized void countRequest() {
        retryBudget.countRequest();
    }

    synchronized boolean tryRetry() {
        return retryBudget.tryRetry(clock.getAsLong());
    }

    /** Returns the connection to an endpoint daemon, or null if the address is invalid. */
    PeerClient peer(String address) {
        try {
            return peers.computeIfAbsent(
                    address, key -> PeerClient.to(Addresses.parse(key), MessageCatalog.standard()));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /**
     * Closes the connections to endpoints that were removed from the table long ago. Connections outlive the removal so
     * that runs in progress can end.
     */
    private void closeUnused() {
        List<String> unused = new ArrayList<>();
        synchronized (this) {
            long now = clock.getAsLong();
            removedAtMillis.forEach((address, removedAt) -> {
                if (now - removedAt >= CONNECTION_RETENTION_MILLIS) {
                    unused.add(address);
                }
            });
            unused.forEach(removedAtMillis::remove);
        }
        for (String address : unused) {
            PeerClient peer = peers.remove(address);
            if (peer != null) {
                peer.close();
            }
        }
    }

    void close() {
        peers.values().forEach(PeerClient::close);
    }
}
