package org.cicadahead.wire;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.jboss.logging.Logger;

/**
 * Sends requests to one other process. Thread-safe.
 *
 * <p>The connection is opened by the first call and reopened by the next call after a loss. While calls are pending,
 * the client pings the peer; if it receives nothing for 3 s, it closes the connection and the calls fail. This detects
 * network partitions, in which a TCP connection reports no error. Create a client with
 * {@link #to(InetSocketAddress, MessageCatalog)} and send requests with {@link #call(Message, long)}.
 */
public final class PeerClient implements Closeable {
    /** Pending calls fail when nothing was received from the peer for this time, in milliseconds. */
    public static final long SILENCE_LIMIT_MILLIS = 3_000;

    private static final Logger LOG = Logger.getLogger("cicadahead.wire");
    private static final long PING_INTERVAL_MILLIS = 1_000;

    private final InetSocketAddress address;
    private final MessageCatalog catalog;
    private final Object connectionLock = new Object();
    private final AtomicLong nextCall = new AtomicLong();
    private final Map<Long, PendingCall> pending = new ConcurrentHashMap<>();
    private final ScheduledFuture<?> pingTask;
    private Connection connection;
    private boolean closed;

    private static final class PendingCall {
        private final Connection connection;
        private final StreamListener listener;
        private volatile boolean written;

        PendingCall(Connection connection, StreamListener listener) {
            this.connection = connection;
            this.listener = listener;
        }
    }

    private PeerClient(InetSocketAddress address, MessageCatalog catalog) {
        this.address = Objects.requireNonNull(address, "The address must not be null");
        this.catalog = Objects.requireNonNull(catalog, "The catalog must not be null");
        this.pingTask = Timers.shared()
                .scheduleWithFixedDelay(this::ping, PING_INTERVAL_MILLIS, PING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns a client for an address.
     *
     * @param address the address of the other process
     * @param catalog the message types
     * @return the client
     * @throws NullPointerException if an argument is null
     */
    public static PeerClient to(InetSocketAddress address, MessageCatalog catalog) {
        return new PeerClient(address, catalog);
    }

    /**
     * Sends a request that has a single reply.
     *
     * @param request the request
     * @param timeoutMillis how long to wait for the reply, in milliseconds
     * @return the reply; fails with a {@link WireException}
     */
    public CompletableFuture<Message> call(Message request, long timeoutMillis) {
        CompletableFuture<Message> answer = new CompletableFuture<>();
        PeerCall call = stream(request, new StreamListener() {
            @Override
            public void part(Message part) {
                answer.completeExceptionally(new WireException(
                        WireException.Kind.MALFORMED, "unexpected streamed reply to a call with a single reply"));
            }

            @Override
            public void end(Message reply) {
                answer.complete(reply);
            }

            @Override
            public void failed(WireException cause) {
                answer.completeExceptionally(cause);
            }
        });
        ScheduledFuture<?> timer =
                Timers.shared().schedule(() -> timeOut(call, answer), timeoutMillis, TimeUnit.MILLISECONDS);
        answer.whenComplete((reply, failure) -> timer.cancel(false));
        return answer;
    }

    /**
     * Sends a request with a streamed reply. The call has no timeout; it fails only when the connection is lost or the
     * peer is silent for {@link #SILENCE_LIMIT_MILLIS}.
     *
     * @param request the request
     * @param listener receives the parts
     * @return the call
     */
    public PeerCall stream(Message request, StreamListener listener) {
        long id = nextCall.incrementAndGet();
        byte[] body;
        try {
            body = Codec.pack(request);
        } catch (WireException e) {
            listener.failed(new WireException(WireException.Kind.NOT_SENT, e.getMessage(), e));
            return PeerCall.ended();
        }
        Frame frame = new Frame(FrameKind.REQUEST, id, request.getClass().getSimpleName(), body);
        if (frame.size() > Frame.MAX_BYTES) {
            listener.failed(new WireException(WireException.Kind.NOT_SENT, "the request is too large"));
            return PeerCall.ended();
        }
        Connection current = connection();
        PendingCall call = new PendingCall(current, listener);
        pending.put(id, call);
        if (current == null || !current.send(frame, () -> call.written = true)) {
            fail(id, new IOException("the connection is closed"));
        }
        return new PeerCall(() -> cancel(id));
    }

    /**
     * Sends a message that expects no reply. The message may be lost.
     *
     * @param message the message
     * @throws WireException if the message cannot be encoded
     */
    public void send(Message message) throws WireException {
        Frame frame = new Frame(FrameKind.ONE_WAY, 0, message.getClass().getSimpleName(), Codec.pack(message));
        Connection current = connection();
        if (current != null) {
            current.send(frame);
        }
    }

    /**
     * Returns the address.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return address;
    }

    /** Closes the connection; pending calls fail. */
    @Override
    public void close() {
        Connection current;
        synchronized (connectionLock) {
            closed = true;
            current = connection;
        }
        pingTask.cancel(false);
        if (current != null) {
            current.close(new IOException("the client was closed"));
        }
    }

    private Connection connection() {
        synchronized (connectionLock) {
            if (closed) {
                return null;
            }
            if (connection == null || connection.isClosed()) {
                connection = Connection.open(address, new ClientListener());
            }
            return connection;
        }
    }

    private void cancel(long id) {
        PendingCall call = pending.remove(id);
        if (call != null && call.connection != null) {
            call.connection.send(Frame.control(FrameKind.CANCEL, id));
        }
    }

    /**
     * Fails a call with a timeout. The request may have arrived even if its frame is still queued, since queued frames
     * are written later.
     */
    private static void timeOut(PeerCall call, CompletableFuture<Message> answer) {
        call.cancel();
        answer.completeExceptionally(new WireException(WireException.Kind.TIMEOUT, "no reply before the timeout"));
    }

    private void fail(long id, IOException cause) {
        PendingCall call = pending.remove(id);
        if (call != null) {
            WireException.Kind kind = call.written ? WireException.Kind.LOST : WireException.Kind.NOT_SENT;
            call.listener.failed(
                    new WireException(kind, "connection to " + address + " failed: " + cause.getMessage(), cause));
        }
    }

    private void ping() {
        Connection current;
        synchronized (connectionLock) {
            current = connection;
        }
        if (current == null || current.isClosed() || pending.isEmpty()) {
            return;
        }
        if (current.millisSinceReceived(System.nanoTime()) > SILENCE_LIMIT_MILLIS) {
            current.close(new IOException("nothing was received from the peer within the silence limit"));
        } else {
            current.send(Frame.control(FrameKind.PING, 0));
        }
    }

    private final class ClientListener implements Connection.Listener {

        @Override
        public void received(Connection from, Frame frame) {
            PendingCall call = pending.get(frame.call());
            if (call == null || call.connection != from) {
                LOG.debugf("wire: Dropped a late %s from %s", frame.kind(), address);
                return;
            }
            switch (frame.kind()) {
                case PART -> deliver(frame, call.listener::part, call);
                case REPLY -> {
                    pending.remove(frame.call());
                    deliver(frame, call.listener::end, call);
                }
                case ERROR -> {
                    pending.remove(frame.call());
                    call.listener.failed(new WireException(WireException.Kind.REMOTE, frame.text()));
                }
                default -> LOG.warnf("wire: Unexpected %s from %s", frame.kind(), address);
            }
        }

        private void deliver(Frame frame, java.util.function.Consumer<Message> target, PendingCall call) {
            Message message;
            try {
                message = Messages.decode(frame, catalog);
            } catch (WireException e) {
                pending.remove(frame.call());
                call.listener.failed(e);
                return;
            }
            target.accept(message);
        }

        @Override
        public void closed(Connection lost, IOException cause) {
            for (Map.Entry<Long, PendingCall> entry : pending.entrySet()) {
                if (entry.getValue().connection == lost) {
                    fail(entry.getKey(), cause);
                }
            }
        }
    }
}
