package org.cicadahead.wire;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.jboss.logging.Logger;

/**
 * Accepts connections from other processes and dispatches their requests to a pool of workers. Thread-safe.
 *
 * <p>A requester sends pings while it has pending requests. If nothing is received from it for 5 s, it is considered
 * lost and its requests are cancelled. Create a server with
 * {@link #start(InetSocketAddress, MessageCatalog, Executor, PeerHandler)}.
 */
public final class PeerServer implements Closeable {
    /** Pending requests are cancelled when nothing was received from their requester for this time, in milliseconds. */
    public static final long SILENCE_LIMIT_MILLIS = 5_000;

    private static final Logger LOG = Logger.getLogger("cicadahead.wire");
    private static final int BACKLOG = 256;
    private static final long CHECK_INTERVAL_MILLIS = 1_000;
    private static final long CLOSE_LIMIT_MILLIS = 5_000;

    private final ServerSocket socket;
    private final MessageCatalog catalog;
    private final Executor workers;
    private final PeerHandler handler;
    private final Set<ServerListener> connections = ConcurrentHashMap.newKeySet();
    private final ScheduledFuture<?> silenceCheck;
    private final Thread acceptor;

    private PeerServer(ServerSocket socket, MessageCatalog catalog, Executor workers, PeerHandler handler) {
        this.socket = socket;
        this.catalog = Objects.requireNonNull(catalog, "The catalog must not be null");
        this.workers = Objects.requireNonNull(workers, "The workers must not be null");
        this.handler = Objects.requireNonNull(handler, "The handler must not be null");
        this.silenceCheck = Timers.shared()
                .scheduleWithFixedDelay(
                        this::closeSilentConnections,
                        CHECK_INTERVAL_MILLIS,
                        CHECK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        this.acceptor = new Thread(this::accept, "wire-acceptor-" + socket.getLocalPort());
        this.acceptor.setDaemon(true);
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on; port 0 selects any free port
     * @param catalog the message types
     * @param workers runs the handler
     * @param handler serves the requests
     * @return the server
     * @throws WireException if the address cannot be bound
     */
    public static PeerServer start(
            InetSocketAddress address, MessageCatalog catalog, Executor workers, PeerHandler handler)
            throws WireException {
        ServerSocket socket = null;
        try {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(address, BACKLOG);
        } catch (IOException e) {
            closeQuietly(socket);
            throw new WireException(WireException.Kind.NOT_SENT, "cannot listen on " + address, e);
        }
        PeerServer server = new PeerServer(socket, catalog, workers, handler);
        server.acceptor.start();
        return server;
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return socket.getLocalPort();
    }

    /** Stops listening and closes all connections. The port is free when the method returns. */
    @Override
    public void close() {
        silenceCheck.cancel(false);
        closeQuietly(socket);
        joinAcceptor();
        for (ServerListener listener : connections) {
            Connection connection = listener.connection;
            if (connection != null) {
                connection.close(new IOException("the server was closed"));
            }
        }
    }

    private static void closeQuietly(ServerSocket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            LOG.debugf(e, "wire: Cannot close a server socket");
        }
    }

    /**
     * Waits for the acceptor thread to end. The kernel does not release the port until the thread has returned from its
     * system call, which can take some time on a busy machine.
     */
    private void joinAcceptor() {
        try {
            acceptor.join(CLOSE_LIMIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                ServerListener listener = new ServerListener();
                connections.add(listener);
                listener.connection = Connection.accepted(accepted, listener);
                if (socket.isClosed()) {
                    // close() may have run before the connection was assigned, and then did not close it.
                    listener.connection.close(new IOException("the server was closed"));
                }
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    LOG.warnf(e, "wire: Cannot accept a connection");
                }
            }
        }
    }

    private void closeSilentConnections() {
        long now = System.nanoTime();
        for (ServerListener listener : connections) {
            Connection connection = listener.connection;
            if (connection != null
                    && !listener.calls.isEmpty()
                    && connection.millisSinceReceived(now) > SILENCE_LIMIT_MILLIS) {
                connection.close(new IOException("nothing was received from the requester within the silence limit"));
            }
        }
    }

    private final class ServerListener implements Connection.Listener {
        private final Map<Long, FrameResponder> calls = new ConcurrentHashMap<>();
        private volatile Connection connection;

        @Override
        public void received(Connection from, Frame frame) {
            switch (frame.kind()) {
                case REQUEST -> {
                    FrameResponder responder = new FrameResponder(from, frame.call(), () -> calls.remove(frame.call()));
                    calls.put(frame.call(), responder);
                    submit(frame, responder);
                }
                case ONE_WAY -> submit(frame, new FrameResponder(null, 0, () -> {}));
                case CANCEL -> {
                    FrameResponder responder = calls.remove(frame.call());
                    if (responder != null) {
                        responder.cancel();
                    }
                }
                default -> LOG.warnf("wire: Unexpected %s from a requester", frame.kind());
            }
        }

        @Override
        public void closed(Connection lost, IOException cause) {
            connections.remove(this);
            calls.values().forEach(FrameResponder::cancel);
            calls.clear();
        }

        private void submit(Frame frame, FrameResponder responder) {
            try {
                workers.execute(() -> serve(frame, responder));
            } catch (RejectedExecutionException e) {
                responder.fail("the workers are busy");
            }
        }

        private void serve(Frame frame, FrameResponder responder) {
            try {
                Message request = Messages.decode(frame, catalog);
                handler.handle(request, responder);
            } catch (WireException e) {
                responder.fail(e.getMessage());
            } catch (RuntimeException e) {
                LOG.errorf(e, "wire: The handler of %s failed", frame.type());
                responder.fail("internal error");
            }
        }
    }
}
