package org.cicadahead.caller;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are cut off because the server stops accepting connections. */
class CallerServerTest {
    private static final long RUN_MILLIS = 3_000;
    private static final String HEAD =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n" + "Connection: close\r\n";

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final CountDownLatch received = new CountDownLatch(1);
    private CallerServer server;

    @BeforeEach
    void start() throws IOException {
        CallerService service = new CallerService() {
            @Override
            public void serve(CallerRequest request, CallerResponse response) {
                received.countDown();
                timer.schedule(
                        () -> response.complete(200, Map.of(), "done".getBytes(StandardCharsets.US_ASCII)),
                        RUN_MILLIS,
                        TimeUnit.MILLISECONDS);
            }

            @Override
            public void countRefusal(Refusal refusal) {}
        };
        server = CallerServer.start(new InetSocketAddress("127.0.0.1", 0), 4, 1_000, service);
    }

    @AfterEach
    void stop() {
        timer.shutdownNow();
        server.close();
    }

    private Socket send(String text) throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String read(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    /** A request in progress that sends nothing for a while is completed. */
    @Test
    void completesASilentRequestAfterItStopsAccepting() throws Exception {
        try (Socket socket = send(HEAD + "Content-Length: 2\r\n\r\n{}")) {
            assertThat(received.await(10, TimeUnit.SECONDS)).isTrue();
            server.stopAccepting();
            assertThat(read(socket)).endsWith("done");
        }
    }

    /** A body that pauses is read to its end. */
    @Test
    void readsABodyThatPausesAfterItStopsAccepting() throws Exception {
        try (Socket socket = send(HEAD + "Content-Length: 4\r\n\r\nbo")) {
            while (server.openRequests() == 0) {
                Thread.onSpinWait();
            }
            server.stopAccepting();
            timer.schedule(
                    () -> {
                        socket.getOutputStream().write("dy".getBytes(StandardCharsets.US_ASCII));
                        return null;
                    },
                    RUN_MILLIS,
                    TimeUnit.MILLISECONDS);
            assertThat(read(socket)).endsWith("done");
        }
    }
}
