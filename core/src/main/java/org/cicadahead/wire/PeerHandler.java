package org.cicadahead.wire;

import org.cicadahead.protocol.Message;

/** Serves the requests of other processes. The worker threads of a server call it concurrently. */
public interface PeerHandler {

    /**
     * Serves a request. The reply may be sent later by another thread.
     *
     * @param request the request
     * @param responder sends the reply; for a message that expects no reply, it discards replies
     * @throws WireException if the request cannot be served; the requester receives the message of the exception
     */
    void handle(Message request, Responder responder) throws WireException;
}
