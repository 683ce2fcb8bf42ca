package org.cicadahead.wire;

import org.cicadahead.protocol.Message;
import org.jboss.logging.Logger;

/** Answers a request over its connection. The lock is a leaf. */
final class FrameResponder implements Responder {
    private static final Logger LOG = Logger.getLogger("cicadahead.wire");

    private final Connection connection;
    private final long call;
    private final Runnable onEnd;
    private boolean ended;
    private boolean cancelled;
    private Runnable cancelAction;

    /**
     * Creates a responder.
     *
     * @param connection the connection, or null for messages without an answer
     * @param call the call id
     * @param onEnd runs when the request is answered
     */
    FrameResponder(Connection connection, long call, Runnable onEnd) {
        this.connection = connection;
        this.call = call;
        this.onEnd = onEnd;
    }

    @Override
    public synchronized boolean part(Message part) {
        return !ended && !cancelled && send(FrameKind.PART, part);
    }

    @Override
    public void reply(Message reply) {
        if (end()) {
            send(FrameKind.REPLY, reply);
            onEnd.run();
        }
    }

    @Override
    public void fail(String text) {
        if (end()) {
            if (connection != null) {
                connection.send(Frame.error(call, text));
            }
            onEnd.run();
        }
    }

    @Override
    public void onCancel(Runnable action) {
        synchronized (this) {
            if (!cancelled) {
                cancelAction = action;
                return;
            }
        }
        action.run();
    }

    @Override
    public long queuedBytes() {
        return connection == null ? 0 : connection.queuedBytes();
    }

    void cancel() {
        Runnable action;
        synchronized (this) {
            if (ended || cancelled) {
                return;
            }
            cancelled = true;
            action = cancelAction;
        }
        if (action != null) {
            action.run();
        }
    }

    private synchronized boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        return true;
    }

    private boolean send(FrameKind kind, Message message) {
        if (connection == null) {
            return false;
        }
        try {
            Frame frame = new Frame(kind, call, message.getClass().getSimpleName(), Codec.pack(message));
            if (frame.size() > Frame.MAX_BYTES) {
                return connection.send(Frame.error(call, "the answer is too large"));
            }
            return connection.send(frame);
        } catch (WireException e) {
            LOG.errorf(e, "wire: Cannot encode an answer");
            return connection.send(Frame.error(call, "the answer cannot be encoded"));
        }
    }
}
