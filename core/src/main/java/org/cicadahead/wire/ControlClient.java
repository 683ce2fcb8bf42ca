package org.cicadahead.wire;

import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.NotLeader;

/**
 * Calls the leader of control, wherever it is. Safe for use by several threads.
 *
 * <p>A request is repeated at other replicas until one answers as the leader or the time is up, so that a request may
 * reach the leader more than once; all requests to control are idempotent for this reason. The first use is
 * {@link #to(List, MessageCatalog)} and then {@link #call(Message, Class, long)}.
 */
public final class ControlClient implements Closeable {
    private static final long BACKOFF_MILLIS = 50;
    /** One attempt is given up after this time, in milliseconds, as its replica may be cut off. */
    private static final long ATTEMPT_MILLIS = 1_000;

    private volatile List<InetSocketAddress> replicas;
    private final MessageCatalog catalog;
    private final long attemptMillis;
    private final Map<InetSocketAddress, PeerClient> clients = new ConcurrentHashMap<>();
    private volatile InetSocketAddress leader;

    private ControlClient(List<InetSocketAddress> replicas, MessageCatalog catalog, long attemptMillis) {
        this.attemptMillis = attemptMillis;
        if (replicas.isEmpty()) {
            throw new IllegalArgumentException("There must be at least one control address");
        }
        this.replicas = List.copyOf(replicas);
        this.catalog = Objects.requireNonNull(catalog, "The catalog must not be null");
        this.leader = this.replicas.get(0);
    }

    /**
     * Returns a client for a group of replicas.
     *
     * @param replicas the addresses of the replicas
     * @param catalog the message types
     * @return the client
     * @throws IllegalArgumentException if there are no addresses
     */
    public static ControlClient to(List<InetSocketAddress> replicas, MessageCatalog catalog) {
        return new ControlClient(replicas, catalog, ATTEMPT_MILLIS);
    }

    /**
     * Returns a client that gives up a replica earlier, for groups whose replicas answer within milliseconds.
     *
     * @param replicas the addresses of the replicas
     * @param catalog the message types
     * @param attemptMillis how long to wait for one replica, in milliseconds
     * @return the client
     * @throws IllegalArgumentException if there are no addresses
     */
    public static ControlClient to(List<InetSocketAddress> replicas, MessageCatalog catalog, long attemptMillis) {
        return new ControlClient(replicas, catalog, attemptMillis);
    }

    /**
     * Replaces the addresses to try; calls under way go on.
     *
     * @param addresses the addresses of the replicas
     * @throws IllegalArgumentException if there are no addresses
     */
    public void retarget(List<InetSocketAddress> addresses) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("There must be at least one control address");
        }
        replicas = List.copyOf(addresses);
        clients.forEach((address, client) -> {
            if (!addresses.contains(address) && !address.equals(leader) && clients.remove(address, client)) {
                client.close();
            }
        });
    }

    /**
     * Sends a request to the leader.
     *
     * @param <R> the type of the answer
     * @param request the request
     * @param type the class of the answer
     * @param timeoutMillis how long to try, in milliseconds
     * @return the answer; fails with a {@link WireException}, whose {@link WireException#mayHaveArrived()} tells
     *     whether any attempt may have reached a replica
     */
    public <R extends Message> CompletableFuture<R> call(Message request, Class<R> type, long timeoutMillis) {
        CompletableFuture<R> answer = new CompletableFuture<>();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        new Attempt<>(request, type, deadlineNanos, answer).run();
        return answer;
    }

    /** Closes all connections. */
    @Override
    public void close() {
        clients.values().forEach(PeerClient::close);
    }

    /** Returns the address that a replica told, or null if it told none. */
    private static InetSocketAddress parse(String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private PeerClient client(InetSocketAddress address) {
        return clients.computeIfAbsent(address, a -> PeerClient.to(a, catalog));
    }

    private InetSocketAddress after(InetSocketAddress address) {
        List<InetSocketAddress> now = replicas;
        return now.get((now.indexOf(address) + 1) % now.size());
    }

    private final class Attempt<R extends Message> implements Runnable {
        private final Message request;
        private final Class<R> type;
        private final long deadlineNanos;
        private final CompletableFuture<R> answer;
        private boolean mayHaveArrived;

        Attempt(Message request, Class<R> type, long deadlineNanos, CompletableFuture<R> answer) {
            this.request = request;
            this.type = type;
            this.deadlineNanos = deadlineNanos;
            this.answer = answer;
        }

        @Override
        public void run() {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (leftMillis <= 0) {
                giveUp("no leader answered in time", null);
                return;
            }
            InetSocketAddress target = leader;
            client(target)
                    .call(request, Math.min(leftMillis, attemptMillis))
                    .whenComplete((reply, failure) -> finish(target, reply, failure));
        }

        private void finish(InetSocketAddress target, Message reply, Throwable failure) {
            if (failure != null) {
                mayHaveArrived |= !(failure instanceof WireException cause) || cause.mayHaveArrived();
                advance(target, after(target), failure);
            } else if (reply instanceof NotLeader redirect) {
                InetSocketAddress next = parse(redirect.leader());
                advance(target, next == null || next.equals(target) ? after(target) : next, null);
            } else if (type.isInstance(reply)) {
                answer.complete(type.cast(reply));
            } else {
                answer.completeExceptionally(new WireException(
                        WireException.Kind.REMOTE,
                        "unexpected answer " + reply.getClass().getSimpleName()));
            }
        }

        private void advance(InetSocketAddress from, InetSocketAddress to, Throwable failure) {
            if (from.equals(leader)) {
                leader = to;
            }
            if (System.nanoTime() - deadlineNanos >= 0) {
                giveUp("no leader answered in time", failure);
            } else {
                Timers.shared().schedule(this, BACKOFF_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void giveUp(String text, Throwable cause) {
            WireException.Kind kind = mayHaveArrived ? WireException.Kind.TIMEOUT : WireException.Kind.NOT_SENT;
            answer.completeExceptionally(new WireException(kind, text, cause));
        }
    }
}
