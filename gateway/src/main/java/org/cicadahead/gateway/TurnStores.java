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

/** The stores as an entry uses them. Safe for use by several threads. */
final class TurnStores {
    /** How long an attempt to close a turn takes at most, in milliseconds. */
    private static final long CLOSE_MILLIS = 1_500;
    /** How long a turn is tried to be settled, in milliseconds: longer than a whole loss of the stores. */
    private static final long SETTLE_LIMIT_MILLIS = 30_000;

    private static final long SETTLE_PAUSE_MILLIS = 200;
    /** How long one store is waited for, in milliseconds: many times a commit, and less than an election. */
    private static final long ATTEMPT_MILLIS = 400;

    private static final Logger LOG = Logger.getLogger("cicadahead.gateway");

    private final MessageCatalog catalog;
    private final ScheduledExecutorService timer;
    private ControlClient client;

    TurnStores(MessageCatalog catalog, ScheduledExecutorService timer) {
        this.catalog = catalog;
        this.timer = timer;
    }

    /** Sets the addresses of the stores; none are ignored, as those known before may still answer. */
    synchronized void known(Collection<String> addresses) {
        List<InetSocketAddress> parsed =
                addresses.stream().sorted().map(Addresses::parse).toList();
        if (parsed.isEmpty()) {
            return;
        }
        if (client == null) {
            client = ControlClient.to(parsed, catalog, ATTEMPT_MILLIS);
        } else {
            client.retarget(parsed);
        }
    }

    /** Opens a turn; fails if the stores do not answer in time, in which case the turn may be open. */
    CompletableFuture<TurnOpened> open(OpenTurn turn, long timeoutMillis) {
        ControlClient current = client();
        return current == null
                ? CompletableFuture.failedFuture(new WireException(WireException.Kind.NOT_SENT, "no store is known"))
                : current.call(turn, TurnOpened.class, timeoutMillis);
    }

    /** Closes a turn once; fails if the stores do not answer in time, in which case the turn may be closed. */
    CompletableFuture<Done> close(CloseTurn turn, long timeoutMillis) {
        ControlClient current = client();
        return current == null
                ? CompletableFuture.failedFuture(new WireException(WireException.Kind.NOT_SENT, "no store is known"))
                : current.call(turn, Done.class, timeoutMillis);
    }

    /** Closes a turn, and repeats that until the stores have answered. */
    void settle(CloseTurn turn) {
        settle(turn, SETTLE_LIMIT_MILLIS);
    }

    private void settle(CloseTurn turn, long leftMillis) {
        close(turn, CLOSE_MILLIS).whenComplete((done, failure) -> {
            if (failure == null) {
                return;
            }
            long left = leftMillis - CLOSE_MILLIS - SETTLE_PAUSE_MILLIS;
            if (left <= 0) {
                LOG.warnf("gateway: The turn %s is not settled: %s", turn.turn(), failure.getMessage());
            } else {
                timer.schedule(() -> settle(turn, left), SETTLE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
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
