package org.cicadahead.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens connections for Jetty's HTTP client that report a failure to read, such as a reset by the peer. Thread-safe.
 *
 * <p>Jetty's own connections report such a failure as the end of the input. The end of the input completes a response
 * that has neither a length nor chunks, so that a response that was broken off would look complete.
 */
public final class ResetReportingConnector extends ClientConnector {

    /** Creates a connector with Jetty's defaults. */
    public ResetReportingConnector() {}

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetReportingEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    /** A connection whose reads throw what the channel throws. */
    private static final class ResetReportingEndPoint extends SocketChannelEndPoint {

        ResetReportingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            int filled;
            try {
                filled = getChannel().read(buffer);
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        }
    }
}
