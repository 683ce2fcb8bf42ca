package org.cicadahead.gateway;

/** Is told the answer of an endpoint, in order and one call at a time. An implementation must not block. */
public interface EndpointListener {

    /**
     * Takes status and headers.
     *
     * @param head the head
     */
    void head(ResponseHead head);

    /**
     * Takes a piece of the body.
     *
     * @param data the piece, which the listener may keep
     */
    void data(byte[] data);

    /** Takes note that the answer is complete. Nothing follows. */
    void end();

    /**
     * Takes note that the answer broke off. Nothing follows.
     *
     * @param mayHaveRun false if the request certainly was not sent
     * @param cause why, for logs
     */
    void failed(boolean mayHaveRun, String cause);
}
