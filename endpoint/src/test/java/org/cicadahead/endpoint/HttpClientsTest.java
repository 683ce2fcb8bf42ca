package org.cicadahead.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses of engines and services that are taken for complete though they were broken off. */
class HttpClientsTest {
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
}
