package org.cicadahead.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.NotLeader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that fail although there is a leader, and against reporting a request as not sent although it
 * may have arrived.
 */
class ControlClientTest {
    private static final EndProgram REQUEST =
            new EndProgram(ProgramKey.of(OrganisationId.of("smiths"), ProgramId.of("p1")), "test");

    private final ExecutorService workers = Executors.newFixedThreadPool(4);
    private final List<PeerServer> servers = new ArrayList<>();
    private ControlClient client;

    @AfterEach
    void close() {
        client.close();
        servers.forEach(PeerServer::close);
        workers.shutdownNow();
    }

    @Test
    void redirectIsFollowedToTheLeader() throws Exception {
        InetSocketAddress leader = serve((request, responder) -> responder.reply(Done.ok()));
        InetSocketAddress follower =
                serve((request, responder) -> responder.reply(new NotLeader("127.0.0.1:" + leader.getPort())));
        client = ControlClient.to(List.of(follower, leader), MessageCatalog.standard());
        assertThat(client.call(REQUEST, Done.class, 5_000).get()).isEqualTo(Done.ok());
    }

    @Test
    void deadReplicaIsSkipped() throws Exception {
        InetSocketAddress dead = serve((request, responder) -> responder.reply(Done.ok()));
        servers.get(0).close();
        InetSocketAddress leader = serve((request, responder) -> responder.reply(Done.ok()));
        client = ControlClient.to(List.of(dead, leader), MessageCatalog.standard());
        assertThat(client.call(REQUEST, Done.class, 5_000).get()).isEqualTo(Done.ok());
    }

    @Test
    void unresponsiveReplicaIsSkipped() throws Exception {
        InetSocketAddress silent = serve((request, responder) -> {});
        InetSocketAddress leader = serve((request, responder) -> responder.reply(Done.ok()));
        client = ControlClient.to(List.of(silent, leader), MessageCatalog.standard());
        assertThat(client.call(REQUEST, Done.class, 5_000).get()).isEqualTo(Done.ok());
    }

    @Test
    void callIsRetriedUntilALeaderIsKnown() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        InetSocketAddress replica = serve(
                (request, responder) -> responder.reply(calls.incrementAndGet() < 4 ? new NotLeader("") : Done.ok()));
        client = ControlClient.to(List.of(replica), MessageCatalog.standard());
        assertThat(client.call(REQUEST, Done.class, 5_000).get()).isEqualTo(Done.ok());
        assertThat(calls.get()).isEqualTo(4);
    }

    @Test
    void unsentRequestIsReportedAsNotSent() throws Exception {
        InetSocketAddress dead = serve((request, responder) -> {});
        servers.get(0).close();
        client = ControlClient.to(List.of(dead), MessageCatalog.standard());
        assertThat(failure(300).mayHaveArrived()).isFalse();
    }

    @Test
    void requestWithoutAReplyMayHaveArrived() throws Exception {
        InetSocketAddress silent = serve((request, responder) -> {});
        client = ControlClient.to(List.of(silent), MessageCatalog.standard());
        assertThat(failure(300).mayHaveArrived()).isTrue();
    }

    private WireException failure(long timeoutMillis) {
        ExecutionException failure = assertThrows(
                ExecutionException.class,
                () -> client.call(REQUEST, Done.class, timeoutMillis).get());
        return (WireException) failure.getCause();
    }

    private InetSocketAddress serve(PeerHandler handler) throws WireException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        PeerServer server =
                PeerServer.start(new InetSocketAddress(loopback, 0), MessageCatalog.standard(), workers, handler);
        servers.add(server);
        return new InetSocketAddress(loopback, server.port());
    }
}
