package org.cicadahead.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.Ping;
import org.cicadahead.protocol.Pong;
import org.cicadahead.protocol.RunChunk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that get no reply, the reply of another call, or no timeout. */
class PeerClientTest {
    private static final Ping PING = new Ping(DaemonId.of("d"));
    private static final Pong PONG = new Pong(EndpointState.READY, new EndpointLoad(0, 0, 0, 0, 0, 1));

    private final ExecutorService workers = Executors.newFixedThreadPool(2);
    private PeerServer server;
    private PeerClient client;

    @AfterEach
    void close() {
        if (client != null) {
            client.close();
        }
        if (server != null) {
            server.close();
        }
        workers.shutdownNow();
    }

    @Test
    void callReturnsTheReply() throws Exception {
        connect((request, responder) -> responder.reply(PONG));
        assertThat(client.call(PING, 1_000).get()).isEqualTo(PONG);
    }

    @Test
    void partsArriveInOrder() throws Exception {
        connect((request, responder) -> {
            for (int i = 0; i < 100; i++) {
                responder.part(new RunChunk(RunId.of("r"), i, new byte[0]));
            }
            responder.reply(PONG);
        });
        AtomicInteger next = new AtomicInteger();
        CompletableFuture<Message> end = new CompletableFuture<>();
        client.stream(PING, new StreamListener() {
            @Override
            public void part(Message part) {
                assertThat(((RunChunk) part).sequence()).isEqualTo(next.getAndIncrement());
            }

            @Override
            public void end(Message reply) {
                end.complete(reply);
            }

            @Override
            public void failed(WireException cause) {
                end.completeExceptionally(cause);
            }
        });
        assertThat(end.get(5, TimeUnit.SECONDS)).isEqualTo(PONG);
        assertThat(next.get()).isEqualTo(100);
    }

    @Test
    void refusedConnectionIsReportedAsNotSent() throws Exception {
        connect((request, responder) -> responder.reply(PONG));
        server.close();
        ExecutionException failure = assertThrows(
                ExecutionException.class, () -> client.call(PING, 2_000).get());
        assertThat(((WireException) failure.getCause()).mayHaveArrived()).isFalse();
    }

    @Test
    void missingReplyTimesOut() throws Exception {
        connect((request, responder) -> {});
        ExecutionException failure = assertThrows(
                ExecutionException.class, () -> client.call(PING, 100).get());
        assertThat(((WireException) failure.getCause()).kind()).isEqualTo(WireException.Kind.TIMEOUT);
    }

    @Test
    void lostConnectionCancelsTheRequest() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        connect((request, responder) -> {
            responder.onCancel(cancelled::countDown);
            begun.countDown();
        });
        CompletableFuture<Message> answer = client.call(PING, 5_000);
        assertThat(begun.await(5, TimeUnit.SECONDS)).isTrue();
        client.close();
        assertThat(cancelled.await(5, TimeUnit.SECONDS)).isTrue();
        ExecutionException failure = assertThrows(ExecutionException.class, answer::get);
        assertThat(((WireException) failure.getCause()).kind()).isEqualTo(WireException.Kind.LOST);
    }

    @Test
    void corruptReplyFailsTheCallImmediately() throws Exception {
        // The MessagePack parser throws unchecked exceptions on corrupt input; uncaught, they ended the reader thread.
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            client = PeerClient.to(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()),
                    MessageCatalog.standard());
            CompletableFuture<Message> answer = client.call(PING, 60_000);
            try (Socket socket = listener.accept()) {
                Frame request = Frame.read(new DataInputStream(socket.getInputStream()));
                byte[] corrupt = {(byte) 0xc1};
                new Frame(FrameKind.REPLY, request.call(), "Pong", corrupt)
                        .write(new DataOutputStream(socket.getOutputStream()));
                ExecutionException failure =
                        assertThrows(ExecutionException.class, () -> answer.get(5, TimeUnit.SECONDS));
                assertThat(((WireException) failure.getCause()).kind()).isEqualTo(WireException.Kind.MALFORMED);
            }
        }
    }

    private void connect(PeerHandler handler) throws WireException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = PeerServer.start(any, MessageCatalog.standard(), workers, handler);
        client = PeerClient.to(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()), MessageCatalog.standard());
    }
}
