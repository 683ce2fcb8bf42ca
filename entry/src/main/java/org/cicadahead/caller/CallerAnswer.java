package org.cicadahead.caller;

import java.util.Map;

/**
 * Takes the answer to one request. Nothing blocks. Calls after the last one are ignored. Safe for use by several
 * threads.
 */
public interface CallerAnswer {

    /**
     * Refuses the request: with a problem document, or with an error event if a stream has begun.
     *
     * @param refusal the refusal
     */
    void refuse(Refusal refusal);

    /**
     * Gives a whole answer.
     *
     * @param status the HTTP status
     * @param headers headers of the answer
     * @param body the body
     */
    void complete(int status, Map<String, String> headers, byte[] body);

    /**
     * Sends events of a stream; the first call begins the stream.
     *
     * @param headers headers of the answer, used by the first call
     * @param events whole server-sent events
     * @return false if the caller reads too slowly, so that the events were not taken
     */
    boolean stream(Map<String, String> headers, byte[] events);

    /** Ends a stream as complete. */
    void done();

    /**
     * Returns whether anything was sent to the caller.
     *
     * @return true if so
     */
    boolean isStarted();

    /**
     * Sets what to do when the caller is gone; runs at once if it is.
     *
     * @param action the action, called at most once
     */
    void onGone(Runnable action);
}
