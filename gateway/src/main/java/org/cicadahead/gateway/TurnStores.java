package org.cicadahead.gateway;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadahead.fleet.CloseTurn;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.TurnOpened;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.ControlClient;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/** The entry's client of the stores. Thread-safe. */
final class TurnStores {
    /** The timeout of one attempt to close a turn in the background, in milliseconds. */
    private static final long CLOSE_TIMEOUT_MILLIS = 1_500;
    /**
     * The time after which closing a turn in the background is abandoned, in milliseconds; longer than an outage of all
     * stores is expected to last.
     */
    private static final long BACKGROUND_CLOSE_LIMIT_MILLIS = 30_000;

    private static final long CLOSE_RETRY_MILLIS = 200;
    /**
     * The timeout of a call to one store, in milliseconds: many times the duration of a commit, but shorter than an
     * election.
     */
    private static final long ATTEMPT_TIMEOUT_MILLIS = 400;

    private static final Logger LOG = Logger.getLogger("cicadahead.gateway");

    private final MessageCatalog catalog;
    private final ScheduledExecutorService timer;
    private ControlClient client;

    TurnStores(MessageCatalog catalog, ScheduledExecutorService timer) {
        this.catalog = catalog;
        this.timer = timer;
    }

    /**
     * Sets the addresses of the stores. An empty list is ignored, because the previous addresses may still be valid.
     */
    synchronized void setAddresses(Collection<String> addresses) {
        List<InetSocketAddress> parsed =
                addresses.stream().sorted().map(Addresses::parse).toList();
        if (parsed.isEmpty()) {
            return;
        }
        if (client == null) {
            client = ControlClient.to(parsed, catalog, ATTEMPT_TIMEOUT_MILLIS);
        } else {
            client.retarget(parsed);
        }
    }

    /** Opens a turn. Fails if the stores do not respond in time; the turn may then be open nevertheless. */
    CompletableFuture<TurnOpened> open(OpenTurn turn, long timeoutMillis) {
        ControlClient currentClient = client();
        return currentClient == null
                ? CompletableFuture.failedFuture(new WireException(WireException.Kind.NOT_SENT, "no store is known"))
                : currentClient.call(turn, TurnOpened.class, timeoutMillis);
    }

    /**
     * Closes a turn, without retries. Fails if the stores do not respond in time; the turn may then be closed
     * nevertheless.
     */
    CompletableFuture<Done> close(CloseTurn turn, long timeoutMillis) {
        ControlClient currentClient = client();
        return currentClient == null
                ? CompletableFuture.failedFuture(new WireException(WireException.Kind.NOT_SENT, "no store is known"))
                : currentClient.call(turn, Done.class, timeoutMillis);
    }

    /** Closes a turn in the background and retries until the stores respond or the time limit expires. */
    void closeInBackground(CloseTurn turn) {
        closeInBackground(turn, BACKGROUND_CLOSE_LIMIT_MILLIS);
    }

    private void closeInBackground(CloseTurn turn, long leftMillis) {
        close(turn, CLOSE_TIMEOUT_MILLIS).whenComplete((done, failure) -> {
            if (failure == null) {
                return;
            }
            long left = leftMillis - CLOSE_TIMEOUT_MILLIS - CLOSE_RETRY_MILLIS;
            if (left <= 0) {
                LOG.warnf("gateway: Could not close the turn %s: %s", turn.turn(), failure.getMessage());
            } else {
                timer.schedule(() -> closeInBackground(turn, left), CLOSE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private synchronized ControlClient client() {
        return client;
    }

    synchronized void stop() {
        if (client != null) {
            client.close();
        }
    }
}
