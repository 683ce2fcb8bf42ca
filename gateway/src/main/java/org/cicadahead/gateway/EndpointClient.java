package org.cicadahead.gateway;

/** Sends requests to endpoints. Thread-safe. */
public interface EndpointClient {

    /**
     * Sends a request.
     *
     * @param request the request
     * @param listener receives the response
     * @return an action that cancels the request and closes its connection; has no effect after the response has ended
     */
    Runnable send(EndpointRequest request, EndpointListener listener);
}
