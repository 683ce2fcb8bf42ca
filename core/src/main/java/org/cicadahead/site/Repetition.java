package org.cicadahead.site;

/** Whether the requests of a route may be retried after they may have run. */
public enum Repetition {
    /** A request may run more than once. */
    IDEMPOTENT(false),
    /** A request runs at most once. */
    NON_IDEMPOTENT(false),
    /** The response is a stream of events; a run may be repeated only if the route resumes streams. */
    STREAM(true);

    private final boolean streamed;

    Repetition(boolean streamed) {
        this.streamed = streamed;
    }

    /**
     * Returns whether responses are streams of events.
     *
     * @return true for streams
     */
    public boolean isStreamed() {
        return streamed;
    }

    /**
     * Returns whether a request that may already have run may be retried.
     *
     * @param resumable whether the route resumes streams
     * @return true if it may
     */
    public boolean mayRepeat(boolean resumable) {
        return this == IDEMPOTENT || this == STREAM && resumable;
    }
}
