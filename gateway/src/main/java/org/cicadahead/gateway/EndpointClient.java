package org.cicadahead.gateway;

/** Sends requests to endpoints. Safe for use by several threads. */
public interface EndpointClient {

    /**
     * Sends a request.
     *
     * @param request the request
     * @param listener is told the answer
     * @return cancels the request and closes its connection; has no effect after the end
     */
    Runnable send(EndpointRequest request, EndpointListener listener);
}
