package org.cicadahead.gateway;

/** Receives the response of an endpoint, in order and one call at a time. Implementations must not block. */
public interface EndpointListener {

    /**
     * Receives the status and headers.
     *
     * @param head the head
     */
    void head(ResponseHead head);

    /**
     * Receives a chunk of the body.
     *
     * @param data the chunk, which the listener may keep
     */
    void data(byte[] data);

    /** Called when the response has ended normally. No call follows. */
    void end();

    /**
     * Called when the response failed or was cut off. No call follows.
     *
     * @param mayHaveRun false only if the request was certainly not sent
     * @param cause a description of the failure, for logs
     */
    void failed(boolean mayHaveRun, String cause);
}
