package org.cicadahead.wire;

import org.cicadahead.protocol.Message;

/**
 * Receives the parts of a streamed reply in order, one at a time, on the reader thread of the connection.
 * Implementations must not block.
 */
public interface StreamListener {

    /**
     * Receives a part other than the last.
     *
     * @param part the part
     */
    void part(Message part);

    /**
     * Receives the last part. No further call follows.
     *
     * @param reply the last part
     */
    void end(Message reply);

    /**
     * Receives the failure of the call. No further call follows.
     *
     * @param cause the cause of the failure
     */
    void failed(WireException cause);
}
