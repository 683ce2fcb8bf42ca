package org.cicadahead.gateway;

/**
 * The way back to one caller. Safe for use by several threads; calls are made in order.
 *
 * <p>An answer is either whole, or a head with pieces and an end, or a refusal. {@link #reset()} may come at any time.
 */
public interface CallerExchange {

    /**
     * Sends a whole answer.
     *
     * @param head status and headers
     * @param body the body
     */
    void answer(ResponseHead head, byte[] body);

    /**
     * Begins a streamed answer.
     *
     * @param head status and headers
     */
    void begin(ResponseHead head);

    /**
     * Sends a piece of a streamed answer.
     *
     * @param data the piece
     */
    void piece(byte[] data);

    /** Ends a streamed answer as complete. */
    void end();

    /**
     * Refuses the request.
     *
     * @param refusal the reason and when to come back
     */
    void refuse(GatewayRefusal refusal);

    /** Closes the connection, so that the caller sees that the answer is not complete. */
    void reset();

    /**
     * Sets what to do when the caller closes the connection before the answer has ended.
     *
     * @param action the action, called at most once
     */
    void onDisconnect(Runnable action);
}
