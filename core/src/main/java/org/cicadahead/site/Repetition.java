package org.cicadahead.site;

/** What may be repeated of the requests of a route. */
public enum Repetition {
    /** A request may run more than once. */
    IDEMPOTENT(false),
    /** A request runs at most once. */
    NON_IDEMPOTENT(false),
    /** The answer is a stream of events; a run may be repeated only where the route resumes streams. */
    STREAM(true);

    private final boolean streamed;

    Repetition(boolean streamed) {
        this.streamed = streamed;
    }

    /**
     * Returns whether answers are streams of events.
     *
     * @return true for streams
     */
    public boolean isStreamed() {
        return streamed;
    }

    /**
     * Returns whether a request that may have run may be sent again.
     *
     * @param resumable whether the route resumes streams
     * @return true if it may
     */
    public boolean mayRepeat(boolean resumable) {
        return this == IDEMPOTENT || this == STREAM && resumable;
    }
}
