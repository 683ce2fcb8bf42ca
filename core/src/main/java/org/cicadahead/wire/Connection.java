package org.cicadahead.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * A TCP connection with a reader thread and a writer thread. Thread-safe.
 *
 * <p>Frames to send wait in a bounded queue, so that a peer that stops reading cannot block the workers. The queue lock
 * is a leaf lock: no other lock is acquired and no listener is called while it is held.
 */
final class Connection {
    /** Maximum size of the send queue in bytes; a frame beyond it closes the connection, as the peer does not read. */
    private static final long MAX_QUEUED_BYTES = 64L * 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int BUFFER_BYTES = 32 * 1024;
    private static final long STACK_BYTES = 256 * 1024;

    private final Socket socket;
    private final InetSocketAddress target;
    private final Listener listener;
    private final Deque<Outgoing> queue = new ArrayDeque<>();
    private long queuedBytes;
    private boolean closed;
    private volatile long lastReceivedNanos = System.nanoTime();

    /** Receives the frames of a connection and its end. */
    interface Listener {
        void received(Connection connection, Frame frame);

        void closed(Connection connection, IOException cause);
    }

    private record Outgoing(Frame frame, Runnable beforeWrite) {}

    private Connection(Socket socket, InetSocketAddress target, Listener listener) {
        this.socket = socket;
        this.target = target;
        this.listener = listener;
    }

    /** Returns a connection to the target; its writer thread connects asynchronously. */
    static Connection open(InetSocketAddress target, Listener listener) {
        Connection connection = new Connection(new Socket(), target, listener);
        connection.startThread("wire-writer-" + target, connection::write);
        return connection;
    }

    static Connection accepted(Socket socket, Listener listener) {
        Connection connection = new Connection(socket, null, listener);
        connection.startThread("wire-writer-" + socket.getRemoteSocketAddress(), connection::write);
        return connection;
    }

    /**
     * Queues a frame for sending.
     *
     * @param frame the frame
     * @param beforeWrite runs on the writer thread before the first byte of the frame is written
     * @return false if the connection is closed; the frame is then never sent
     */
    boolean send(Frame frame, Runnable beforeWrite) {
        synchronized (queue) {
            if (closed) {
                return false;
            }
            if (queuedBytes + frame.size() <= MAX_QUEUED_BYTES) {
                queue.add(new Outgoing(frame, beforeWrite));
                queuedBytes += frame.size();
                queue.notifyAll();
                return true;
            }
        }
        close(new IOException("the send queue is full because the peer does not read"));
        return false;
    }

    boolean send(Frame frame) {
        return send(frame, () -> {});
    }

    long queuedBytes() {
        synchronized (queue) {
            return queuedBytes;
        }
    }

    long millisSinceReceived(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - lastReceivedNanos);
    }

    boolean isClosed() {
        synchronized (queue) {
            return closed;
        }
    }

    void close(IOException cause) {
        synchronized (queue) {
            if (closed) {
                return;
            }
            closed = true;
            queue.clear();
            queue.notifyAll();
        }
        try {
            socket.close();
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
        listener.closed(this, cause);
    }

    private void startThread(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void write() {
        try {
            if (target != null) {
                socket.connect(target, CONNECT_TIMEOUT_MILLIS);
            }
            socket.setTcpNoDelay(true);
            lastReceivedNanos = System.nanoTime();
            startThread("wire-reader-" + socket.getRemoteSocketAddress(), this::read);
            DataOutputStream out =
                    new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES));
            while (true) {
                Outgoing next = take(out);
                if (next == null) {
                    return;
                }
                next.beforeWrite.run();
                next.frame.write(out);
            }
        } catch (IOException e) {
            close(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close(new IOException("the writer thread was interrupted", e));
        }
    }

    /**
     * Returns the next frame, or null once the connection is closed. Flushes the output before it waits for a frame.
     */
    private Outgoing take(DataOutputStream out) throws IOException, InterruptedException {
        Outgoing next = poll();
        if (next == null) {
            out.flush();
        }
        synchronized (queue) {
            while (next == null && !closed) {
                next = poll();
                if (next == null) {
                    queue.wait();
                }
            }
            return closed ? null : next;
        }
    }

    private Outgoing poll() {
        synchronized (queue) {
            Outgoing next = queue.poll();
            if (next != null) {
                queuedBytes -= next.frame.size();
            }
            return next;
        }
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES));
            while (true) {
                Frame frame = Frame.read(in);
                lastReceivedNanos = System.nanoTime();
                if (frame.kind() == FrameKind.PING) {
                    send(Frame.control(FrameKind.PONG, frame.call()));
                } else if (frame.kind() != FrameKind.PONG) {
                    listener.received(this, frame);
                }
            }
        } catch (IOException e) {
            close(e);
        } catch (RuntimeException e) {
            // Without the close, an exception from a listener would leave the connection open without a reader thread.
            close(new IOException("the connection listener threw an exception", e));
        }
    }
}
