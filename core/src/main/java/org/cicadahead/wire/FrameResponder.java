package org.cicadahead.wire;

import org.cicadahead.protocol.Message;
import org.jboss.logging.Logger;

/**
 * Sends the reply to a request over the connection that the request came from. Its lock is held while a part is queued
 * on the connection, which takes the queue lock.
 */
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
     * @param connection the connection, or null for messages that expect no reply
     * @param call the call id
     * @param onEnd runs after the last reply or the failure was sent
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
        if (markEnded()) {
            send(FrameKind.REPLY, reply);
            onEnd.run();
        }
    }

    @Override
    public void fail(String text) {
        if (markEnded()) {
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

    private synchronized boolean markEnded() {
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
            LOG.errorf(e, "wire: Cannot encode a reply");
            return connection.send(Frame.error(call, "the answer cannot be encoded"));
        }
    }
}
