package org.cicadahead.operator;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.cicadahead.node.NodeException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.URIUtil;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jboss.logging.Logger;

/** Serves the admin API over HTTP. Thread-safe. */
public final class AdminServer {
    private static final Logger LOG = Logger.getLogger("cicadahead.control");
    private static final String ROOT_PATH = "/admin/v1/";
    private static final String BEARER = "Bearer ";
    private static final int MAX_THREADS = 16;
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final String RETRY_AFTER_SECONDS = "1";

    private final Server server;
    private final ServerConnector connector;

    private AdminServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /**
     * Starts a server.
     *
     * @param address where to listen; port 0 takes any free port
     * @param token the bearer token of operators
     * @param backends returns the operations that serve a request; called once for each request
     * @param metrics the registry of the counters
     * @return the server
     * @throws NodeException if the address cannot be bound
     */
    public static AdminServer start(
            InetSocketAddress address, String token, Supplier<? extends AdminBackend> backends, MetricRegistry metrics)
            throws NodeException {
        Objects.requireNonNull(token, "The token must not be null");
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
        threads.setName("admin");
        threads.setDaemon(true);
        Server server = new Server(threads);
        ServerConnector connector = new ServerConnector(server, 1, 1);
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        server.addConnector(connector);
        server.setHandler(new AdminHandler(token, backends, metrics));
        try {
            server.start();
        } catch (Exception e) {
            throw new NodeException("cannot serve operators on " + address, e);
        }
        return new AdminServer(server, connector);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /** Stops the server. */
    public void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            LOG.warnf(e, "control: Cannot stop the admin server");
        }
    }

    /** Authenticates, routes and answers requests. */
    private static final class AdminHandler extends Handler.Abstract {
        private final byte[] token;
        private final Supplier<? extends AdminBackend> backends;
        private final MetricRegistry metrics;

        AdminHandler(String token, Supplier<? extends AdminBackend> backends, MetricRegistry metrics) {
            this.token = token.getBytes(StandardCharsets.UTF_8);
            this.backends = backends;
            this.metrics = metrics;
            for (AdminProblem problem : AdminProblem.values()) {
                metrics.counter("admin.refusals." + problem.code());
            }
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            AdminReply reply;
            try {
                reply = serve(request);
            } catch (AdminException e) {
                metrics.counter("admin.refusals." + e.problem().code()).inc();
                reply = AdminReply.problem(e);
            } catch (RuntimeException e) {
                LOG.errorf(e, "control: An admin request failed");
                metrics.counter("admin.refusals." + AdminProblem.INTERNAL.code())
                        .inc();
                reply = AdminReply.problem(new AdminException(AdminProblem.INTERNAL, "see the log of the replica"));
            }
            write(reply, response, callback);
            return true;
        }

        private AdminReply serve(Request request) throws AdminException {
            if (!isAuthenticated(request.getHeaders().get(HttpHeader.AUTHORIZATION))) {
                throw new AdminException(
                        AdminProblem.UNAUTHENTICATED,
                        "the request needs the header Authorization: Bearer with the token");
            }
            String path = Request.getPathInContext(request);
            if (!path.startsWith(ROOT_PATH)) {
                throw new AdminException(AdminProblem.NOT_FOUND, "there is no such path");
            }
            AdminBackend backend = backends.get();
            Optional<String> failure = backend.failure();
            if (failure.isPresent()) {
                throw new AdminException(AdminProblem.REPLICA_OUT, failure.get());
            }
            if (!backend.isLeader()) {
                return redirectToLeader(request, backend);
            }
            List<String> segments = Arrays.stream(
                            path.substring(ROOT_PATH.length()).split("/"))
                    .map(URIUtil::decodePath)
                    .toList();
            AdminRequest adminRequest = new AdminRequest(
                    request.getMethod(),
                    segments,
                    request.getHeaders().get(HttpHeader.IF_MATCH),
                    request.getHeaders().get(HttpHeader.IF_NONE_MATCH),
                    request.getHeaders().get("Request-Id"),
                    body(request));
            try {
                return new AdminRouter(backend).serve(adminRequest);
            } catch (AdminException e) {
                if (e.problem() == AdminProblem.NO_LEADER) {
                    return redirectToLeader(request, backend);
                }
                throw e;
            }
        }

        private AdminReply redirectToLeader(Request request, AdminBackend backend) throws AdminException {
            Optional<String> leader = backend.leaderAdminAddress();
            if (leader.isEmpty()) {
                throw new AdminException(AdminProblem.NO_LEADER, "there is no leader at the moment");
            }
            return AdminReply.redirect(
                    "http://" + leader.get() + request.getHttpURI().getPathQuery());
        }

        private boolean isAuthenticated(String header) {
            if (header == null || token.length == 0 || !header.startsWith(BEARER)) {
                return false;
            }
            byte[] given = header.substring(BEARER.length()).strip().getBytes(StandardCharsets.UTF_8);
            return MessageDigest.isEqual(token, given);
        }

        private static String body(Request request) throws AdminException {
            if (request.getLength() > MAX_BODY_BYTES) {
                throw new AdminException(
                        AdminProblem.TOO_LARGE, "the body must not exceed " + MAX_BODY_BYTES + " bytes");
            }
            try {
                ByteBuffer bytes = Content.Source.asByteBuffer(request);
                if (bytes.remaining() > MAX_BODY_BYTES) {
                    throw new AdminException(
                            AdminProblem.TOO_LARGE, "the body must not exceed " + MAX_BODY_BYTES + " bytes");
                }
                return StandardCharsets.UTF_8.decode(bytes).toString();
            } catch (IOException e) {
                throw new AdminException(AdminProblem.MALFORMED, "the body ended early");
            }
        }

        private static void write(AdminReply reply, Response response, Callback callback) {
            response.setStatus(reply.status());
            if (reply.revision() > 0) {
                response.getHeaders().put(HttpHeader.ETAG, "\"" + reply.revision() + "\"");
            }
            if (reply.location() != null) {
                response.getHeaders().put(HttpHeader.LOCATION, reply.location());
            }
            if (reply.status() == AdminProblem.NO_LEADER.status()) {
                response.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_SECONDS);
            }
            if (reply.status() == AdminProblem.UNAUTHENTICATED.status()) {
                response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
            }
            if (reply.body() == null) {
                callback.succeeded();
                return;
            }
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, reply.contentType());
            response.write(true, ByteBuffer.wrap(reply.body().toString().getBytes(StandardCharsets.UTF_8)), callback);
        }
    }
}
