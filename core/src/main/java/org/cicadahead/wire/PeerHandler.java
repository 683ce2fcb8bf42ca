package org.cicadahead.wire;

import org.cicadahead.protocol.Message;

/** Serves requests of other processes. Called by the workers of a server, several at a time. */
public interface PeerHandler {

    /**
     * Serves a request. The answer may be given later by another thread.
     *
     * @param request the request
     * @param responder takes the answer; for a message without an answer it ignores what it is given
     * @throws WireException if the request cannot be served; the requester gets the message of the exception
     */
    void handle(Message request, Responder responder) throws WireException;
}
