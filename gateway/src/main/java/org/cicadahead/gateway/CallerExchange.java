package org.cicadahead.gateway;

/**
 * Sends the response to one caller. Thread-safe; its methods are called in order.
 *
 * <p>A response is either a complete answer, a stream (a head, chunks and an end) or a refusal. {@link #reset()} may be
 * called at any time.
 */
public interface CallerExchange {

    /**
     * Sends a complete response.
     *
     * @param head status and headers
     * @param body the body
     */
    void answer(ResponseHead head, byte[] body);

    /**
     * Begins a streamed response.
     *
     * @param head status and headers
     */
    void begin(ResponseHead head);

    /**
     * Sends a chunk of a streamed response.
     *
     * @param data the chunk
     */
    void chunk(byte[] data);

    /** Marks a streamed response as complete. */
    void end();

    /**
     * Refuses the request.
     *
     * @param refusal the reason and the retry delay
     */
    void refuse(GatewayRefusal refusal);

    /** Closes the connection, so that the caller can tell that the response is incomplete. */
    void reset();

    /**
     * Registers an action for the case that the caller closes the connection before the response has ended.
     *
     * @param action the action, run at most once
     */
    void onDisconnect(Runnable action);
}
