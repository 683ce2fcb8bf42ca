package org.cicadahead.wire;

import org.cicadahead.protocol.Message;

/**
 * Is told the parts of a streamed answer, in order and one at a time, on the reader thread of the connection. An
 * implementation must not block.
 */
public interface StreamListener {

    /**
     * Takes a part that is not the last.
     *
     * @param part the part
     */
    void part(Message part);

    /**
     * Takes the last part. Nothing follows.
     *
     * @param reply the last part
     */
    void end(Message reply);

    /**
     * Takes the failure of the call. Nothing follows.
     *
     * @param cause why it failed
     */
    void failed(WireException cause);
}
