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
 * Serves callers over HTTP. Safe for use by several threads.
 *
 * <p>The first use is {@link #start(InetSocketAddress, int, long, CallerService)}.
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
     * @param listen the address to listen on; port 0 takes any free port
     * @param threads the number of threads
     * @param maxBodyBytes the largest request body in bytes
     * @param service serves the requests
     * @return the server
     * @throws IOException if the server cannot start
     */
    public static CallerServer start(InetSocketAddress listen, int threads, long maxBodyBytes, CallerService service)
            throws IOException {
        QueuedThreadPool pool = new QueuedThreadPool(Math.max(MIN_THREADS, threads));
        pool.setName("entry-http");
        pool.setDaemon(true);
        Server server = new Server(pool);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        // Jetty would refuse user info as malformed; the parser refuses it as key_in_url.
        http.setUriCompliance(UriCompliance.DEFAULT.with("cicadahead", UriCompliance.Violation.USER_INFO));
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(listen.getAddress().getHostAddress());
        connector.setPort(listen.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        CallerHandler handler = new CallerHandler(service, maxBodyBytes);
        server.setHandler(handler);
        server.setErrorHandler(new MalformedHandler(service));
        try {
            server.start();
        } catch (Exception e) {
            throw new IOException("cannot serve callers on " + listen, e);
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
     * Returns how many requests have not been answered to the last byte.
     *
     * @return the number
     */
    public int openRequests() {
        return handler.open();
    }

    /** Stops accepting connections; requests under way continue. */
    public void stopAccepting() {
        connector.shutdown();
    }

    /** Closes all connections and stops. */
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            LOG.warnf(e, "entry: The HTTP server did not stop cleanly");
        }
    }
}
