package org.cicadahead.gateway;

/** Receives the response of an endpoint, in order and one call at a time. Implementations must not block. */
public interface EndpointListener {

    /**
     * Called when a connection is available and the request is about to be written to it.
     *
     * @param timeLeftMillis the time limit that is stated to the endpoint, in milliseconds
     */
    default void written(long timeLeftMillis) {
        // Only listeners that record the attempt need it.
    }

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
