package org.cicadahead.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadahead.model.Role;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.wire.TestPorts;
import org.junit.jupiter.api.Test;

class DaemonTest {
    private final AtomicBoolean ready = new AtomicBoolean();
    private final AtomicBoolean stopped = new AtomicBoolean();

    /** Guards against reporting readiness too early, which draws load balancer traffic, and against missing metrics. */
    @Test
    void servesHealthReadinessAndMetrics() throws Exception {
        Daemon daemon = Daemon.start(settings(TestPorts.free(), 1_000), this::start);
        try {
            assertThat(get(daemon, "/healthz").statusCode()).isEqualTo(200);
            assertThat(get(daemon, "/readyz").statusCode()).isEqualTo(503);
            ready.set(true);
            assertThat(get(daemon, "/readyz").statusCode()).isEqualTo(200);
            assertThat(get(daemon, "/metrics").body()).contains("refusals_rate_limited 1.0");
            assertThat(get(daemon, "/other").statusCode()).isEqualTo(404);
        } finally {
            assertThat(daemon.shutdown()).isTrue();
        }
        assertThat(stopped.get()).isTrue();
        assertThat(daemon.isReady()).isFalse();
    }

    /** Guards against a process that never exits because the shutdown of one role blocks. */
    @Test
    void cutsOffShutdownAtTimeLimit() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        Daemon daemon = Daemon.start(settings(TestPorts.free(), 1), (role, settings, metrics) -> new Node() {
            @Override
            public boolean isReady() {
                return true;
            }

            @Override
            public void shutdown(long timeoutMillis) {
                try {
                    never.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        });

        assertThat(daemon.shutdown()).isFalse();
    }

    /** Guards against a partially started daemon that keeps running after a role failed to start. */
    @Test
    void failsWhenRoleCannotStart() {
        assertThrows(
                NodeException.class,
                () -> Daemon.start(settings(TestPorts.free(), 1_000), (role, settings, metrics) -> {
                    throw new NodeException("no", null);
                }));
    }

    private Node start(Role role, Settings settings, MetricRegistry metrics) {
        metrics.counter("refusals.rate_limited").inc();
        return new Node() {
            @Override
            public boolean isReady() {
                return ready.get();
            }

            @Override
            public void shutdown(long timeoutMillis) {
                stopped.set(true);
            }
        };
    }

    private static HttpResponse<String> get(Daemon daemon, String path) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + daemon.healthPort() + path);
        return HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static Settings settings(int healthPort, long timeoutMillis) throws SettingsException {
        return SettingsReader.parse("s.toml", """
                [daemon]
                id = "entry-1"
                roles = ["entry"]
                zone = "a"
                control = ["127.0.0.1:1"]
                shutdown_timeout_millis = %d
                [health]
                listen = "127.0.0.1:%d"
                [entry]
                listen = "127.0.0.1:1"
                """.formatted(timeoutMillis, healthPort));
    }
}
