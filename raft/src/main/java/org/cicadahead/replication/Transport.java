package org.cicadahead.replication;

import java.io.Closeable;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.raft.Member;
import org.cicadahead.raft.Membership;
import org.cicadahead.raft.RaftMessage;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.PeerClient;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/** Sends messages to the other replicas. Thread-safe. */
final class Transport implements Closeable {
    /**
     * Longer than the silence after which a client fails its pending calls. A client detects silence only while a call
     * is pending, so a hello must stay pending until then for a partition to be detected.
     */
    private static final long HELLO_TIMEOUT_MILLIS = PeerClient.SILENCE_LIMIT_MILLIS + 1_000;

    private static final Logger LOG = Logger.getLogger("cicadahead.raft");

    private final MessageCatalog catalog;
    private final Map<String, PeerClient> clients = new ConcurrentHashMap<>();
    private final Map<ReplicaId, String> addresses = new ConcurrentHashMap<>();
    private volatile boolean closed;

    Transport(MessageCatalog catalog) {
        this.catalog = catalog;
    }

    /** Records the address of a replica. */
    void recordAddress(ReplicaId id, String address) {
        addresses.put(id, address);
    }

    void recordAddresses(Membership membership) {
        for (Member member : membership.members()) {
            addresses.putIfAbsent(member.id(), member.address());
        }
    }

    /** Returns the address of a replica, or an empty string if it is not known. */
    String address(ReplicaId id) {
        return id == null ? "" : addresses.getOrDefault(id, "");
    }

    /** Sends a message if the address of the receiver is known. Delivery is not guaranteed. */
    void send(RaftMessage message) {
        String address = address(message.to());
        if (address.isEmpty() || closed) {
            return;
        }
        try {
            client(address).send(message);
        } catch (WireException | IllegalArgumentException e) {
            LOG.errorf(e, "raft: Cannot send a message to %s", address);
        }
    }

    CompletableFuture<RaftHelloReply> hello(String address, RaftHello hello) {
        if (closed) {
            return CompletableFuture.failedFuture(new IllegalStateException("the replica is stopped"));
        }
        try {
            return client(address).call(hello, HELLO_TIMEOUT_MILLIS).thenApply(Transport::asHelloReply);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    @Override
    public void close() {
        closed = true;
        clients.values().forEach(PeerClient::close);
    }

    private static RaftHelloReply asHelloReply(Message reply) {
        return (RaftHelloReply) reply;
    }

    private PeerClient client(String address) {
        return clients.computeIfAbsent(address, a -> PeerClient.to(Addresses.parse(a), catalog));
    }
}
