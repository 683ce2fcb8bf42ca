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
 * A TCP connection with a reader thread and a writer thread. Safe for use by several threads.
 *
 * <p>The writer has a bounded queue, so that a peer that stops reading cannot block the workers. Lock order: the queue
 * lock is a leaf; no listener is called while it is held.
 */
final class Connection {
    /** Bytes that may wait for a peer that does not read. */
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

    /** Is told what happens on a connection. */
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

    /** Returns a connection that its writer thread opens. */
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
     * Queues a frame.
     *
     * @param frame the frame
     * @param beforeWrite runs on the writer thread just before the first byte is written
     * @return false if the connection is closed, so that the frame certainly is not sent
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
        close(new IOException("the peer does not read"));
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
            close(new IOException("the writer was interrupted", e));
        }
    }

    /** Returns the next frame, and flushes before it waits; returns null once closed. */
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
            // A listener that fails must not leave an open connection without a reader.
            close(new IOException("a listener failed", e));
        }
    }
}
