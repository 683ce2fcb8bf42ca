package org.cicadahead.gateway;

import java.util.Locale;

/** The reason for a retry at another endpoint; determines whether the failed endpoint may have run the request. */
enum RetryReason {
    /** The endpoint stated that it did not run the request. */
    REJECTED(false),
    /** The response comes from another endpoint incarnation, which now listens at the address. */
    WRONG_INSTANCE(false),
    /** No connection could be opened. */
    NOT_SENT(false),
    /** The connection was lost after the request was sent. */
    LOST(true),
    /** The response does not match the request, carries no signature, is incomplete or is too large. */
    BAD_ANSWER(true),
    /** The endpoint responded with a server error. */
    FAILED(true),
    /** The endpoint did not send the first byte of its response in time. */
    SLOW(true),
    /** The endpoint sent no further event of a stream for much longer than callers wait. */
    STALLED(true);

    private final boolean mayHaveRun;

    RetryReason(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
