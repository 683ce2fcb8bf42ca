package org.cicadahead.watch;

import java.io.Closeable;
import java.net.ConnectException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cicadahead.fleet.ConfirmFleet;
import org.cicadahead.fleet.DaemonPlace;
import org.cicadahead.fleet.FleetRole;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.fleet.WatchFleet;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.PeerClient;
import org.cicadahead.wire.StreamListener;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * Watches all hubs at the same time: the seed hubs from the settings and the hubs that they report. Thread-safe.
 *
 * <p>A daemon is connected to every hub and learns of a change from whichever hub the change was reported to. Hubs
 * therefore need not forward changes to one another. Create a watch with {@link #start}.
 */
public final class FleetWatch implements Closeable {
    /** The reconnect interval, in milliseconds; a fraction of the time within which a configuration must be applied. */
    private static final long RETRY_MILLIS = 250;

    private static final Logger LOG = Logger.getLogger("cicadahead.watch");

    private final DaemonPlace self;
    private final MessageCatalog catalog;
    private final ScheduledExecutorService timer;
    private final Consumer<FleetUpdate> listener;
    private final Map<String, HubLink> links = new HashMap<>();
    private Set<String> seeds;
    private boolean closed;

    private FleetWatch(
            DaemonPlace self,
            Collection<String> seeds,
            MessageCatalog catalog,
            ScheduledExecutorService timer,
            Consumer<FleetUpdate> listener) {
        this.self = Objects.requireNonNull(self, "The daemon must not be null");
        this.seeds = new TreeSet<>(seeds);
        this.catalog = catalog;
        this.timer = timer;
        this.listener = listener;
    }

    /**
     * Starts to watch the hubs.
     *
     * @param self this daemon, which the hubs announce to other daemons
     * @param seeds the addresses of hubs
     * @param catalog the message types
     * @param timer schedules reconnects
     * @param listener receives the updates, on the reader threads of the connections; the first update of a connection
     *     is complete; the listener must not block
     * @return the watch
     */
    public static FleetWatch start(
            DaemonPlace self,
            Collection<String> seeds,
            MessageCatalog catalog,
            ScheduledExecutorService timer,
            Consumer<FleetUpdate> listener) {
        FleetWatch watch = new FleetWatch(self, seeds, catalog, timer, listener);
        watch.updateLinks();
        return watch;
    }

    /**
     * Replaces the seed addresses.
     *
     * @param addresses the addresses of hubs; an empty collection is ignored
     */
    public void updateSeeds(Collection<String> addresses) {
        synchronized (this) {
            if (addresses.isEmpty()) {
                return;
            }
            seeds = new TreeSet<>(addresses);
        }
        timer.execute(this::updateLinks);
    }

    /**
     * Returns the addresses of all known hubs.
     *
     * @return the addresses
     */
    public synchronized List<String> hubs() {
        return List.copyOf(targetAddresses());
    }

    /**
     * Returns the daemons of a role that any connected hub reports.
     *
     * @param role the role
     * @return the daemons by their addresses
     */
    public synchronized Map<String, DaemonPlace> daemons(FleetRole role) {
        Map<String, DaemonPlace> found = new HashMap<>();
        for (HubLink link : links.values()) {
            for (DaemonPlace place : link.daemons) {
                if (place.role() == role) {
                    found.put(place.address(), place);
                }
            }
        }
        return found;
    }

    /**
     * Returns the names of the daemons of a role that any connected hub reports.
     *
     * @param role the role
     * @return the names
     */
    public synchronized Set<String> names(FleetRole role) {
        Set<String> names = new HashSet<>();
        for (HubLink link : links.values()) {
            link.daemons.stream().filter(place -> place.role() == role).forEach(place -> names.add(place.name()));
        }
        return names;
    }

    /**
     * Confirms that all changes that hubs acknowledged before this call have been passed to the listener. A hub whose
     * process is not running is left out, because hubs tell each other of changes; one that does not answer is not.
     *
     * @param timeoutMillis how long to wait for the hubs, in milliseconds
     * @return true if at least one hub and all that run have confirmed it; completes on another thread
     */
    public CompletableFuture<Boolean> confirmCurrent(long timeoutMillis) {
        List<HubLink> asked;
        synchronized (this) {
            asked = List.copyOf(links.values());
        }
        List<CompletableFuture<Confirmation>> answers =
                asked.stream().map(link -> link.confirm(timeoutMillis)).toList();
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> {
                    List<Confirmation> all =
                            answers.stream().map(CompletableFuture::join).toList();
                    return all.contains(Confirmation.CURRENT) && !all.contains(Confirmation.UNKNOWN);
                });
    }

    @Override
    public synchronized void close() {
        closed = true;
        links.values().forEach(link -> link.client.close());
        links.clear();
    }

    private synchronized Set<String> targetAddresses() {
        Set<String> targetAddresses = new TreeSet<>(seeds);
        daemons(FleetRole.HUB).keySet().forEach(targetAddresses::add);
        return targetAddresses;
    }

    private synchronized void updateLinks() {
        if (closed) {
            return;
        }
        Set<String> targetAddresses = targetAddresses();
        targetAddresses.remove(self.address());
        for (String address : new HashSet<>(links.keySet())) {
            if (!targetAddresses.contains(address)) {
                links.remove(address).client.close();
            }
        }
        for (String address : targetAddresses) {
            if (!links.containsKey(address)) {
                HubLink link = new HubLink(address);
                links.put(address, link);
                link.connect();
            }
        }
    }

    /** What is known of the changes of one hub. */
    private enum Confirmation {
        /** All changes before the question have arrived. */
        CURRENT,
        /** The hub is not running. */
        DOWN,
        /** The hub did not answer, or its changes do not arrive at present. */
        UNKNOWN
    }

    /** The connection to one hub. Its fields are guarded by the watch. */
    private final class HubLink implements StreamListener {
        private final String address;
        private final PeerClient client;
        private List<DaemonPlace> daemons = List.of();
        private boolean connected;

        HubLink(String address) {
            this.address = address;
            this.client = PeerClient.to(Addresses.parse(address), catalog);
        }

        void connect() {
            client.stream(new WatchFleet(self), this);
        }

        /** Asks on the connection of the changes, so that the reply follows them. */
        CompletableFuture<Confirmation> confirm(long timeoutMillis) {
            boolean before = isConnected();
            return client.call(new ConfirmFleet(), timeoutMillis).handle((reply, failure) -> {
                if (failure != null) {
                    return isRefused(failure) ? Confirmation.DOWN : Confirmation.UNKNOWN;
                }
                return before && isConnected() ? Confirmation.CURRENT : Confirmation.UNKNOWN;
            });
        }

        private boolean isConnected() {
            synchronized (FleetWatch.this) {
                return connected;
            }
        }

        private boolean isRefused(Throwable failure) {
            return failure.getCause() instanceof ConnectException;
        }

        @Override
        public void part(Message part) {
            if (!(part instanceof FleetUpdate update)) {
                LOG.warnf(
                        "watch: Unexpected %s from the hub at %s",
                        part.getClass().getSimpleName(), address);
                return;
            }
            synchronized (FleetWatch.this) {
                if (!connected) {
                    connected = true;
                    LOG.infof("watch: Connected to the hub at %s", address);
                }
                if (update.daemons() != null) {
                    daemons = update.daemons();
                    timer.execute(FleetWatch.this::updateLinks);
                }
            }
            listener.accept(update);
        }

        @Override
        public void end(Message reply) {
            handleDisconnect("the hub ended the watch");
        }

        @Override
        public void failed(WireException cause) {
            handleDisconnect(cause.getMessage());
        }

        private void handleDisconnect(String reason) {
            boolean wasConnected;
            synchronized (FleetWatch.this) {
                wasConnected = connected;
                connected = false;
                daemons = List.of();
                if (closed || links.get(address) != this) {
                    return;
                }
            }
            if (wasConnected) {
                LOG.warnf("watch: Lost the hub at %s: %s", address, reason);
            }
            timer.schedule(this::reconnect, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void reconnect() {
            synchronized (FleetWatch.this) {
                if (closed || links.get(address) != this) {
                    return;
                }
            }
            connect();
        }
    }
}
