package org.cicadahead.daemon;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics}. Thread-safe. */
final class HealthServer {
    private static final int MAX_THREADS = 6;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain;charset=utf-8";

    private final Server server;

    private HealthServer(Server server) {
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param listen the address to listen on
     * @param metrics the metrics that {@code /metrics} exports
     * @param ready the readiness that {@code /readyz} reports
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    static HealthServer start(InetSocketAddress listen, MetricRegistry metrics, BooleanSupplier ready)
            throws IOException {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
        threads.setName("health");
        threads.setDaemon(true);
        Server server = new Server(threads);
        ServerConnector connector = new ServerConnector(server, 1, 1);
        connector.setHost(listen.getHostString());
        connector.setPort(listen.getPort());
        server.addConnector(connector);
        server.setHandler(new HealthHandler(metrics, ready));
        try {
            server.start();
        } catch (Exception e) {
            throw new IOException("cannot start the health server at " + listen, e);
        }
        return new HealthServer(server);
    }

    /** Returns the port that the server listens on. */
    int port() {
        return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    }

    void stop() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("cannot stop the health server", e);
        }
    }

    private static final class HealthHandler extends Handler.Abstract {
        private final CollectorRegistry collectors = new CollectorRegistry();
        private final BooleanSupplier ready;

        HealthHandler(MetricRegistry metrics, BooleanSupplier ready) {
            this.ready = ready;
            collectors.register(new DropwizardExports(metrics));
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws IOException {
            switch (Request.getPathInContext(request)) {
                case "/healthz" -> respond(response, callback, OK, TEXT, "ok\n");
                case "/readyz" -> {
                    boolean isReady = ready.getAsBoolean();
                    respond(response, callback, isReady ? OK : UNAVAILABLE, TEXT, isReady ? "ready\n" : "not ready\n");
                }
                case "/metrics" -> {
                    StringWriter text = new StringWriter();
                    TextFormat.write004(text, collectors.metricFamilySamples());
                    respond(response, callback, OK, TextFormat.CONTENT_TYPE_004, text.toString());
                }
                default -> respond(response, callback, NOT_FOUND, TEXT, "not found\n");
            }
            return true;
        }

        private static void respond(Response response, Callback callback, int status, String type, String body) {
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
            Content.Sink.write(response, true, body, callback);
        }
    }
}
