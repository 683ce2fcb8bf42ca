package org.cicadahead.gateway;

import java.util.Locale;

/** Why a request is sent to another endpoint, and whether the one before may have run it. */
enum RetryReason {
    /** The endpoint said that it did not run the request. */
    REJECTED(false),
    /** Another incarnation is at the address. */
    WRONG_INSTANCE(false),
    /** No connection could be opened. */
    NOT_SENT(false),
    /** The connection was lost after the request was sent. */
    LOST(true),
    /** The answer was not one to this request, or carried no signature. */
    BAD_ANSWER(true),
    /** The endpoint failed the request. */
    FAILED(true),
    /** The endpoint did not begin to answer in time. */
    SLOW(true);

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
