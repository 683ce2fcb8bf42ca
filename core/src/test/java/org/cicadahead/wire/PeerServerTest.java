package org.cicadahead.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointState;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.Ping;
import org.cicadahead.protocol.Pong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against failures of the server caused by corrupt input or by exceptions from a handler. */
class PeerServerTest {
    private static final long SEED = 20261204;
    private static final int RESTARTS = 2_000;
    private static final int FUZZED_CONNECTIONS = 200;
    private static final Ping PING = new Ping(DaemonId.of("d"));
    private static final Ping FAILING = new Ping(DaemonId.of("broken"));
    private static final Pong PONG = new Pong(EndpointState.READY, new EndpointLoad(0, 0, 0, 0, 0, 1));

    private final ExecutorService workers = Executors.newFixedThreadPool(2);
    private PeerServer server;
    private PeerClient client;

    @BeforeEach
    void start() throws WireException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = PeerServer.start(any, MessageCatalog.standard(), workers, (request, responder) -> {
            if (FAILING.equals(request)) {
                throw new IllegalStateException("broken");
            }
            responder.reply(PONG);
        });
        client = PeerClient.to(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()), MessageCatalog.standard());
    }

    @AfterEach
    void close() {
        client.close();
        server.close();
        workers.shutdownNow();
    }

    @Test
    void garbageDoesNotStopTheServer() throws Exception {
        Random random = new Random(SEED);
        for (int i = 0; i < FUZZED_CONNECTIONS; i++) {
            try (Socket socket = connect()) {
                byte[] bytes = new byte[1 + random.nextInt(300)];
                random.nextBytes(bytes);
                socket.getOutputStream().write(bytes);
            }
        }
        assertThat(client.call(PING, 5_000).get()).isEqualTo(PONG);
    }

    @Test
    void mutatedRequestsGetAReplyOrAnError() throws Exception {
        Random random = new Random(SEED);
        byte[] body = Codec.pack(PING);
        for (int i = 0; i < FUZZED_CONNECTIONS; i++) {
            byte[] mutated = body.clone();
            mutated[random.nextInt(mutated.length)] ^= (byte) (1 << random.nextInt(8));
            try (Socket socket = connect()) {
                new Frame(FrameKind.REQUEST, i, "Ping", mutated).write(new DataOutputStream(socket.getOutputStream()));
                Frame answer = Frame.read(new DataInputStream(socket.getInputStream()));
                assertThat(answer.call()).isEqualTo(i);
                assertThat(answer.kind()).isAnyOf(FrameKind.REPLY, FrameKind.ERROR);
            }
        }
    }

    @Test
    void unknownTypeIsAnError() throws Exception {
        try (Socket socket = connect()) {
            new Frame(FrameKind.REQUEST, 1, "Nonsense", new byte[0])
                    .write(new DataOutputStream(socket.getOutputStream()));
            Frame answer = Frame.read(new DataInputStream(socket.getInputStream()));
            assertThat(answer.kind()).isEqualTo(FrameKind.ERROR);
            assertThat(answer.text()).contains("Nonsense");
        }
    }

    @Test
    void handlerFailureIsReportedAndTheConnectionStaysUsable() throws Exception {
        ExecutionException failure = assertThrows(
                ExecutionException.class, () -> client.call(FAILING, 5_000).get());
        assertThat(((WireException) failure.getCause()).kind()).isEqualTo(WireException.Kind.REMOTE);
        assertThat(client.call(PING, 5_000).get()).isEqualTo(PONG);
    }

    @Test
    void portIsFreeAfterTheServerIsClosed() throws Exception {
        // The acceptor thread held the port briefly after close() had returned, so a restart sometimes failed to bind.
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), TestPorts.free());
        for (int i = 0; i < RESTARTS; i++) {
            PeerServer.start(address, MessageCatalog.standard(), workers, (request, responder) -> {})
                    .close();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(5_000);
        return socket;
    }
}
