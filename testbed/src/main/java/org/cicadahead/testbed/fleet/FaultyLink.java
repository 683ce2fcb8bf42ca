package org.cicadahead.testbed.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntPredicate;

/**
 * A TCP link on the loopback address that can be cut silently in one or both directions and delayed. Safe for use by
 * several threads.
 *
 * <p>Closes and resets are carried as such. A cut keeps connections open and carries nothing, not even a close, as a
 * partitioned network does. After it is healed, what was sent arrives, as TCP sends it again.
 */
public final class FaultyLink implements Closeable {
    private static final int BUFFER_BYTES = 16_384;
    private static final int MAX_BUFFERS = 64;
    private static final int BACKLOG = 64;
    private static final long CUT_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final IntPredicate NEVER = port -> false;

    /** The directions of a link. */
    public enum Direction {
        /** From the side that connects to the target. */
        FORWARD,
        /** From the target to the side that connects. */
        BACKWARD
    }

    private final InetSocketAddress target;
    private volatile ServerSocket server;
    private final Set<Direction> cuts = ConcurrentHashMap.newKeySet();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile IntPredicate cutSources = NEVER;
    private volatile long delayNanos;

    private FaultyLink(ServerSocket server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    /**
     * Starts a link.
     *
     * @param port the port to listen on; 0 takes any free one
     * @param targetPort the port on the loopback address that connections lead to
     * @return the link
     * @throws FleetException if the port cannot be bound
     */
    public static FaultyLink start(int port, int targetPort) throws FleetException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try {
            ServerSocket server = new ServerSocket(port, BACKLOG, loopback);
            FaultyLink link = new FaultyLink(server, new InetSocketAddress(loopback, targetPort));
            link.run("link-accept-" + targetPort, () -> link.accept(server));
            return link;
        } catch (IOException e) {
            throw new FleetException("cannot listen on port " + port, e);
        }
    }

    /**
     * Returns the port that the link listens on.
     *
     * @return the port
     */
    public int port() {
        return server.getLocalPort();
    }

    /** Cuts both directions. */
    public void cut() {
        cuts.addAll(Set.of(Direction.values()));
    }

    /**
     * Cuts one direction.
     *
     * @param direction the direction
     */
    public void cut(Direction direction) {
        cuts.add(direction);
    }

    /**
     * Cuts both directions of the connections from some sources.
     *
     * @param sourcePorts tells by the port of the connecting side whether a connection is cut
     */
    public void cutFrom(IntPredicate sourcePorts) {
        cutSources = sourcePorts;
    }

    /** Ends all cuts. */
    public void heal() {
        cuts.clear();
        cutSources = NEVER;
    }

    /**
     * Delays each direction.
     *
     * @param millis the one-way delay in milliseconds
     */
    public void delay(long millis) {
        delayNanos = TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /**
     * Ends all connections as the end of the target's process does, and refuses further ones.
     *
     * @param reset whether the connections are reset and not closed in order
     */
    public void refuse(boolean reset) {
        closeQuietly(server);
        for (Socket socket : sockets) {
            end(socket, reset);
            sockets.remove(socket);
        }
    }

    /**
     * Accepts connections again after {@link #refuse}.
     *
     * @throws FleetException if the port cannot be bound
     */
    public void accept() throws FleetException {
        try {
            ServerSocket next = new ServerSocket(port(), BACKLOG, InetAddress.getLoopbackAddress());
            server = next;
            run("link-accept-" + target.getPort(), () -> accept(next));
        } catch (IOException e) {
            throw new FleetException("cannot listen on port " + port() + " again", e);
        }
    }

    /** Closes the link and its connections. */
    @Override
    public void close() {
        closeQuietly(server);
        sockets.forEach(FaultyLink::closeQuietly);
    }

    /** Ends a connection; a reset reaches the other side as such. */
    private static void end(Socket socket, boolean reset) {
        try {
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            System.getLogger("cicadahead.testbed").log(System.Logger.Level.DEBUG, "a socket is closed already", e);
        }
        closeQuietly(socket);
    }

    private static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            System.getLogger("cicadahead.testbed").log(System.Logger.Level.DEBUG, "cannot close a socket", e);
        }
    }

    private void accept(ServerSocket from) {
        while (!from.isClosed()) {
            try {
                Socket near = from.accept();
                sockets.add(near);
                run("link-connect", () -> connect(near));
            } catch (IOException e) {
                if (!from.isClosed()) {
                    System.getLogger("cicadahead.testbed").log(System.Logger.Level.WARNING, "cannot accept", e);
                }
            }
        }
    }

    private void connect(Socket near) {
        awaitOpen(Direction.FORWARD, near.getPort());
        Socket far = new Socket();
        sockets.add(far);
        try {
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            far.connect(target);
            new Pump(near, far, Direction.FORWARD, near.getPort()).start();
            new Pump(far, near, Direction.BACKWARD, near.getPort()).start();
        } catch (IOException e) {
            closeBoth(near, far);
        }
    }

    private void closeBoth(Socket one, Socket other) {
        closeQuietly(one);
        closeQuietly(other);
        sockets.remove(one);
        sockets.remove(other);
    }

    private void awaitOpen(Direction direction, int sourcePort) {
        while ((cuts.contains(direction) || cutSources.test(sourcePort)) && !server.isClosed()) {
            LockSupport.parkNanos(CUT_CHECK_NANOS);
        }
    }

    private void run(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Bytes and when they are due; no bytes stand for the end of the stream, in order or by a reset. */
    private record Chunk(byte[] bytes, boolean reset, long dueNanos) {}

    /** Carries one direction of one connection. */
    private final class Pump {
        private final Socket from;
        private final Socket to;
        private final Direction direction;
        private final int sourcePort;
        private final BlockingQueue<Chunk> queue = new ArrayBlockingQueue<>(MAX_BUFFERS);

        Pump(Socket from, Socket to, Direction direction, int sourcePort) {
            this.from = from;
            this.to = to;
            this.direction = direction;
            this.sourcePort = sourcePort;
        }

        void start() {
            run("link-read", this::read);
            run("link-write", this::write);
        }

        private void read() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                int count = 0;
                boolean reset = false;
                while (count >= 0) {
                    try {
                        count = from.getInputStream().read(buffer);
                    } catch (IOException e) {
                        count = -1;
                        reset = true;
                    }
                    byte[] bytes = new byte[Math.max(count, 0)];
                    System.arraycopy(buffer, 0, bytes, 0, bytes.length);
                    queue.put(new Chunk(bytes, reset, System.nanoTime() + delayNanos));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void write() {
            try {
                while (true) {
                    Chunk chunk = queue.take();
                    long leftNanos = chunk.dueNanos - System.nanoTime();
                    if (leftNanos > 0) {
                        TimeUnit.NANOSECONDS.sleep(leftNanos);
                    }
                    awaitOpen(direction, sourcePort);
                    if (chunk.bytes.length == 0) {
                        end(to, chunk.reset);
                        closeBoth(from, to);
                        return;
                    }
                    to.getOutputStream().write(chunk.bytes);
                }
            } catch (IOException e) {
                closeBoth(from, to);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
