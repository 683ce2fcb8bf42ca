package org.cicadahead.gateway;

import java.util.Locale;

/** The reason for a retry at another endpoint; determines whether the failed endpoint may have run the request. */
enum RetryReason {
    /** The endpoint stated that it did not run the request. */
    REJECTED(false, true),
    /** The response comes from another endpoint incarnation, which now listens at the address. */
    WRONG_INSTANCE(false, false),
    /** No connection could be opened. */
    NOT_SENT(false, false),
    /** The connection was lost after the request was sent. */
    LOST(true, false),
    /** The response does not match the request, carries no signature, is too large or out of order. */
    BAD_ANSWER(true, false),
    /** The response ended inside an event, as it does when the endpoint crashes and nothing else states its length. */
    INCOMPLETE(true, false),
    /** The events of the response do not continue the stream that the caller has begun to read, or not to its end. */
    GAP(true, false),
    /**
     * The endpoint responded with a server error, with any error to a stream that was to be resumed there, or with a
     * status from which callers conclude that a request that may not be repeated did not run.
     */
    FAILED(true, true),
    /** The endpoint did not send the first byte of its response in time. */
    SLOW(true, false),
    /** The endpoint sent no further event of a stream for much longer than callers wait. */
    STALLED(true, false);

    private final boolean mayHaveRun;
    private final boolean answered;

    RetryReason(boolean mayHaveRun, boolean answered) {
        this.mayHaveRun = mayHaveRun;
        this.answered = answered;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the endpoint itself answered this request, so that its headers can be believed. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns whether the endpoint may have crashed while it ran the request. */
    boolean mayBeCrash() {
        return this == LOST || this == INCOMPLETE;
    }

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
