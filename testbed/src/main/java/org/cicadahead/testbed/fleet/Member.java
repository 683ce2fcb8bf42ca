package org.cicadahead.testbed.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * A process of a fleet with its addresses. Safe for use by several threads.
 *
 * @param process the process
 * @param port the port at which callers, operators or other daemons reach it
 * @param healthPort the port of its health server; for an emulator the same as {@code port}
 * @param daemon whether it is a daemon, which has a health server
 */
public record Member(ManagedProcess process, int port, int healthPort, boolean daemon) {
    private static final int PROBE_MILLIS = 1_000;
    private static final int OK = 200;
    private static final HttpClient HTTP = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(PROBE_MILLIS))
            .build();

    /**
     * Returns the base URL of {@code port}.
     *
     * @return the URL
     */
    public URI uri() {
        return URI.create("http://127.0.0.1:" + port);
    }

    /**
     * Returns whether the process can be used now.
     *
     * @return true if a daemon reports itself ready or an emulator accepts connections
     */
    public boolean isReady() {
        return process.isAlive() && (daemon ? health("/readyz") : accepts());
    }

    /**
     * Returns the metrics of a daemon.
     *
     * @return Prometheus text, or an empty text if the daemon does not answer
     */
    public String metrics() {
        try {
            return get("/metrics").body();
        } catch (IOException e) {
            return "";
        }
    }

    private boolean health(String path) {
        try {
            return get(path).statusCode() == OK;
        } catch (IOException e) {
            return false;
        }
    }

    private HttpResponse<String> get(String path) throws IOException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + healthPort + path))
                .timeout(Duration.ofMillis(PROBE_MILLIS))
                .build();
        try {
            return HTTP.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private boolean accepts() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), PROBE_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
