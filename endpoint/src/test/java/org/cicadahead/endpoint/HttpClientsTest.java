package org.cicadahead.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses of engines and services that were broken off or do not end. */
class HttpClientsTest {
    /** More than the sockets hold and than the heap of an endpoint daemon. */
    private static final long MAX_SENT_BYTES = 64L * 1024 * 1024;

    private final ServerSocket server = open();
    private HttpClient client;

    private static ServerSocket open() {
        try {
            return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @BeforeEach
    void start() throws Exception {
        client = HttpClients.start("test");
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        server.close();
    }

    /** Responds to one request without a length, and then closes or resets the connection. */
    private void respond(boolean reset) {
        Thread thread = new Thread(() -> {
            try (Socket socket = server.accept()) {
                byte[] request = new byte[4_096];
                assertThat(socket.getInputStream().read(request)).isAtLeast(1);
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Responds to one request with a head that does not end; returns the number of bytes sent until the close. */
    private Future<Long> respondWithoutEnd() {
        CompletableFuture<Long> sent = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            long bytes = 0;
            try (Socket socket = server.accept()) {
                byte[] request = new byte[4_096];
                assertThat(socket.getInputStream().read(request)).isAtLeast(1);
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] headers = "X-Header: y\r\n".repeat(1_000).getBytes(StandardCharsets.US_ASCII);
                while (bytes < MAX_SENT_BYTES) {
                    socket.getOutputStream().write(headers);
                    bytes += headers.length;
                }
            } catch (IOException e) {
                // The client has closed the connection.
            }
            sent.complete(bytes);
        });
        thread.setDaemon(true);
        thread.start();
        return sent;
    }

    private String call() throws Exception {
        return client.GET("http://127.0.0.1:" + server.getLocalPort()).getContentAsString();
    }

    /** A response without a length ends with its connection, but not with a reset of it. */
    @Test
    void aResetBreaksAResponseWithoutALengthOff() throws Exception {
        respond(false);
        assertThat(call()).isEqualTo("half");
        respond(true);
        assertThrows(ExecutionException.class, this::call);
    }

    /** A head without end must not be kept until the heap is full. */
    @Test
    void endsAHeadWithoutEnd() throws Exception {
        Future<Long> sent = respondWithoutEnd();
        assertThrows(ExecutionException.class, this::call);
        assertThat(sent.get(20, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES);
    }
}
