package org.cicadahead.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jboss.logging.Logger;

/**
 * The HTTP server for callers. Thread-safe.
 *
 * <p>Instances come from {@link #start(InetSocketAddress, int, long, CallerService)}.
 */
public final class CallerServer {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");
    private static final int MIN_THREADS = 8;
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private final Server server;
    private final ServerConnector connector;
    private final CallerHandler handler;

    private CallerServer(Server server, ServerConnector connector, CallerHandler handler) {
        this.handler = handler;
        this.server = server;
        this.connector = connector;
    }

    /**
     * Starts a server.
     *
     * @param listen the address to listen on; port 0 selects a free port
     * @param threads the size of the thread pool
     * @param maxBodyBytes the maximum size of a request body in bytes
     * @param service the service that handles the requests
     * @return the server
     * @throws IOException if the server cannot start
     */
    public static CallerServer start(InetSocketAddress listen, int threads, long maxBodyBytes, CallerService service)
            throws IOException {
        QueuedThreadPool pool = new QueuedThreadPool(Math.max(MIN_THREADS, threads));
        pool.setName("entry-http");
        pool.setDaemon(true);
        Server server = new Server(pool);
        HttpConfiguration httpConfiguration = new HttpConfiguration();
        httpConfiguration.setSendServerVersion(false);
        httpConfiguration.setSendDateHeader(false);
        // Jetty would reject user info in the URI as malformed; RequestParser refuses it with the reason key_in_url
        // instead.
        httpConfiguration.setUriCompliance(UriCompliance.DEFAULT.with("cicadahead", UriCompliance.Violation.USER_INFO));
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfiguration));
        connector.setHost(listen.getAddress().getHostAddress());
        connector.setPort(listen.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        // Jetty's shorter timeout would cut off bodies that pause when the server stops accepting connections.
        connector.setShutdownIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        CallerHandler handler = new CallerHandler(service, maxBodyBytes);
        server.setHandler(handler);
        server.setErrorHandler(new MalformedRequestHandler(service));
        try {
            server.start();
        } catch (Exception e) {
            throw new IOException("cannot start the HTTP server on " + listen, e);
        }
        return new CallerServer(server, connector, handler);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /**
     * Returns the number of requests whose response has not been sent completely.
     *
     * @return the number
     */
    public int openRequests() {
        return handler.openRequests();
    }

    /** Stops accepting connections. Requests in progress continue. */
    public void stopAccepting() {
        connector.shutdown();
    }

    /** Closes all connections and stops the server. */
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            LOG.warnf(e, "entry: Failed to stop the HTTP server cleanly");
        }
    }
}
