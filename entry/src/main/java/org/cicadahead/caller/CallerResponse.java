package org.cicadahead.caller;

import java.util.Map;

/**
 * The response to one request of a caller. No method blocks. Calls after the response has ended are ignored.
 * Thread-safe.
 */
public interface CallerResponse {

    /**
     * Refuses the request with a problem document, or with an error event if a stream has begun.
     *
     * @param refusal the refusal
     */
    void refuse(Refusal refusal);

    /**
     * Sends a complete response.
     *
     * @param status the HTTP status
     * @param headers the response headers
     * @param body the body
     */
    void complete(int status, Map<String, String> headers, byte[] body);

    /**
     * Sends server-sent events. The first call begins the stream.
     *
     * @param headers the response headers, used by the first call only
     * @param events one or more complete server-sent events
     * @return false if the events were rejected because the caller reads too slowly
     */
    boolean stream(Map<String, String> headers, byte[] events);

    /** Ends the stream successfully. */
    void finishStream();

    /**
     * Returns whether a stream to the caller has begun.
     *
     * @return true if a stream has begun
     */
    boolean isStarted();

    /**
     * Sets the action to run when the caller disconnects. It runs immediately if the caller has already disconnected.
     *
     * @param action the action, called at most once
     */
    void onDisconnect(Runnable action);
}
