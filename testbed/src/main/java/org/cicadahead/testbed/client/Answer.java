package org.cicadahead.testbed.client;

/**
 * What a caller received. Immutable.
 *
 * @param status the HTTP status; 0 if no answer arrived
 * @param text the answer, or what arrived of it
 * @param complete whether the answer arrived with its end
 * @param reason the reason of a refusal or of a broken stream; empty if there is none
 * @param notRun whether a refusal says that the request did not run
 * @param endpoint the endpoint that ran it, or empty
 * @param replayed whether the answer is a recorded one
 * @param firstTokenNanos the time to the first token, in nanoseconds; -1 if none arrived
 * @param totalNanos the time to the end, in nanoseconds
 */
public record Answer(
        int status,
        String text,
        boolean complete,
        String reason,
        boolean notRun,
        String endpoint,
        boolean replayed,
        long firstTokenNanos,
        long totalNanos) {
    private static final int OK = 200;

    /**
     * Returns whether the request succeeded and its answer is complete.
     *
     * @return true if so
     */
    public boolean isDone() {
        return status >= OK && status < OK + 100 && complete && reason.isEmpty();
    }

    /**
     * Returns a short text for messages.
     *
     * @return status, reason and endpoint
     */
    public String summary() {
        return "status " + status + (reason.isEmpty() ? "" : ", " + reason) + (complete ? "" : ", incomplete")
                + (endpoint.isEmpty() ? "" : ", " + endpoint);
    }
}
