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
 * Sends requests to the leader of the control group and follows changes of the leader. Thread-safe.
 *
 * <p>A request is retried at the other replicas until one replies as the leader or the timeout expires. A request may
 * therefore reach the leader more than once, which is why all requests to control are idempotent. Create a client with
 * {@link #to(List, MessageCatalog)} and send requests with {@link #call(Message, Class, long)}.
 */
public final class ControlClient implements Closeable {
    private static final long BACKOFF_MILLIS = 50;
    /** Timeout of one attempt in milliseconds; the replica may be partitioned from the network. */
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
     * Returns a client with its own timeout per attempt, for groups whose replicas reply within milliseconds.
     *
     * @param replicas the addresses of the replicas
     * @param catalog the message types
     * @param attemptMillis the timeout of one attempt at one replica, in milliseconds
     * @return the client
     * @throws IllegalArgumentException if there are no addresses
     */
    public static ControlClient to(List<InetSocketAddress> replicas, MessageCatalog catalog, long attemptMillis) {
        return new ControlClient(replicas, catalog, attemptMillis);
    }

    /**
     * Replaces the addresses of the replicas. Calls in progress continue.
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
     * @param <R> the type of the reply
     * @param request the request
     * @param type the class of the reply
     * @param timeoutMillis the timeout of the call over all attempts, in milliseconds
     * @return the reply; fails with a {@link WireException}, whose {@link WireException#mayHaveArrived()} states
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

    /** Returns the address of the leader that a replica reported, or null if it reported none. */
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

    private InetSocketAddress replicaAfter(InetSocketAddress address) {
        List<InetSocketAddress> current = replicas;
        return current.get((current.indexOf(address) + 1) % current.size());
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
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (remainingMillis <= 0) {
                giveUp("no leader answered in time", null);
                return;
            }
            InetSocketAddress target = leader;
            client(target)
                    .call(request, Math.min(remainingMillis, attemptMillis))
                    .whenComplete((reply, failure) -> finish(target, reply, failure));
        }

        private void finish(InetSocketAddress target, Message reply, Throwable failure) {
            if (failure != null) {
                mayHaveArrived |= !(failure instanceof WireException cause) || cause.mayHaveArrived();
                retryAt(target, replicaAfter(target), failure);
            } else if (reply instanceof NotLeader redirect) {
                InetSocketAddress next = parse(redirect.leader());
                retryAt(target, next == null || next.equals(target) ? replicaAfter(target) : next, null);
            } else if (type.isInstance(reply)) {
                answer.complete(type.cast(reply));
            } else {
                answer.completeExceptionally(new WireException(
                        WireException.Kind.REMOTE,
                        "unexpected answer " + reply.getClass().getSimpleName()));
            }
        }

        private void retryAt(InetSocketAddress from, InetSocketAddress to, Throwable failure) {
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
