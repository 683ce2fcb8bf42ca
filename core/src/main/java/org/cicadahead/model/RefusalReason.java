package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Why a request is refused. Each reason has a stable code that callers and operators may rely on.
 *
 * <p>The HTTP entry turns a reason into an RFC 9457 problem document and counts it as {@code refusals.<code>}.
 */
public enum RefusalReason {
    /** No key, or a key that is not known. */
    KEY_INVALID(401, "The key is missing or not valid", true, 0),
    /** The key was withdrawn while the request ran. */
    KEY_REVOKED(401, "The key was withdrawn", false, 0),
    /** A key was found in the query or in the user info of the URL. */
    KEY_IN_URL(400, "A key must not be part of the URL", true, 0),
    /** The key's organisation may not use the route. */
    ROUTE_FORBIDDEN(403, "The organisation may not use this route", true, 0),
    /** No route has the name. */
    ROUTE_UNKNOWN(404, "The route does not exist", true, 0),
    /** The route's pool is not configured. */
    POOL_UNKNOWN(503, "The pool of the route does not exist", true, 5),
    /** The request could not be parsed. */
    REQUEST_MALFORMED(400, "The request is malformed", true, 0),
    /** The body ended before its declared length. */
    BODY_INCOMPLETE(400, "The request body ended early", true, 0),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, "The request body is too large", true, 0),
    /** A header of cicadahead has a value that is not allowed. */
    HEADER_INVALID(400, "A header is not valid", true, 0),
    /** The configuration lease of the process has expired. */
    CONFIGURATION_LEASE_EXPIRED(503, "The entry is cut off from control", true, 2),
    /** Control has no leader or does not answer. */
    CONTROL_UNAVAILABLE(503, "Control does not answer", true, 2),
    /** Control did not answer after the request may have been dispatched. */
    OUTCOME_UNCONFIRMED(502, "The outcome could not be confirmed", false, 2),
    /** The organisation used up its rate and burst. */
    RATE_LIMITED(429, "The organisation's rate is used up", true, 1),
    /** The organisation is within its rate, but no grant could be had in time. */
    RATE_GRANT_UNAVAILABLE(503, "No rate grant could be had in time", true, 1),
    /** The step is not the program's next one. */
    STEP_OUT_OF_ORDER(409, "The step is not the next one of the program", true, 0),
    /** The step runs already, so it is not true that the request was not run. */
    STEP_RUNNING(409, "The step is already running", false, 1),
    /** A resent step differs from the recorded one. */
    STEP_CHANGED(422, "The step was sent before with other content", true, 0),
    /** The step was taken over by another attempt. */
    STEP_FENCED(409, "Another attempt has taken over the step", false, 0),
    /** The program has ended. */
    PROGRAM_ENDED(410, "The program has ended", true, 0),
    /** The program is not known. */
    PROGRAM_UNKNOWN(404, "The program does not exist", true, 0),
    /** The program's budget or step limit is used up. */
    BUDGET_EXHAUSTED(402, "The program's budget is used up", true, 0),
    /** A request that may not be repeated carries no idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED(400, "This route requires an Idempotency-Key", true, 0),
    /** The idempotency key was used for another request. */
    IDEMPOTENCY_KEY_REUSED(422, "The idempotency key was used for another request", true, 0),
    /** The claimed request is still running. */
    CLAIM_RUNNING(409, "The request is still running", false, 1),
    /** The outcome of the claimed request is not known; it never runs again. */
    OUTCOME_UNKNOWN(409, "The outcome of the request is not known", false, 0),
    /** A later attempt has taken over the claim; this attempt did not run, but the later one may have. */
    CLAIM_FENCED(409, "Another attempt has taken over the request", false, 1),
    /** No endpoint of the pool is available. */
    NO_ENDPOINT(503, "No endpoint is available", true, 2),
    /** The endpoint's queue is full. */
    ENDPOINT_OVERLOADED(503, "The endpoint is overloaded", true, 1),
    /** The endpoint takes no new work. */
    ENDPOINT_LEAVING(503, "The endpoint is leaving", true, 1),
    /** The deadline cannot be met. */
    DEADLINE_UNREACHABLE(503, "The deadline cannot be met", true, 1),
    /** The deadline passed while the request ran. */
    DEADLINE_EXCEEDED(504, "The deadline has passed", false, 0),
    /** The engine or service failed while the request ran. */
    ENDPOINT_FAILED(502, "The endpoint failed while the request ran", false, 1),
    /** The connection to the endpoint was lost while the request ran. */
    ENDPOINT_LOST(502, "The endpoint was lost while the request ran", false, 1),
    /** Chunks of the answer are missing. */
    ANSWER_INCOMPLETE(502, "Part of the answer is missing", false, 1),
    /** No configuration is known yet. */
    SITE_UNKNOWN(503, "No configuration is known yet", true, 1),
    /** The organisation has no such previous turn. */
    TURN_UNKNOWN(404, "The previous turn does not exist", true, 0),
    /** The stores did not answer, so that neither the previous turn nor the budget is certain. */
    STORES_UNAVAILABLE(503, "The stores do not answer", true, 1),
    /** The request crashed endpoints and is refused for a time. */
    REQUEST_POISONOUS(422, "The request has crashed endpoints", true, 600),
    /** The caller reads the answer too slowly. */
    CALLER_TOO_SLOW(408, "The caller reads too slowly", false, 0),
    /** The caller closed the connection. */
    CALLER_GONE(499, "The caller closed the connection", false, 0),
    /** The entry holds as many requests as its memory allows. */
    ENTRY_OVERLOADED(503, "The entry is overloaded", true, 1),
    /** The process is shutting down. */
    SHUTTING_DOWN(503, "The process is shutting down", true, 1),
    /** An internal error, after which the request may have run. */
    INTERNAL_ERROR(500, "Internal error", false, 0);

    private final int status;
    private final String title;
    private final boolean notRun;
    private final int retryAfterSeconds;

    RefusalReason(int status, String title, boolean notRun, int retryAfterSeconds) {
        this.status = status;
        this.title = title;
        this.notRun = notRun;
        this.retryAfterSeconds = retryAfterSeconds;
    }

    /**
     * Returns the reason with a code.
     *
     * @param code the code, as {@link #code()} gives it
     * @return the reason
     * @throws IllegalArgumentException if no reason has the code
     */
    @JsonCreator
    public static RefusalReason of(String code) {
        return valueOf(code.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns the stable code in lower case with underscores.
     *
     * @return the code
     */
    @JsonValue
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns a short sentence for people.
     *
     * @return the title
     */
    public String title() {
        return title;
    }

    /**
     * Returns whether the request certainly did not run and will not run.
     *
     * @return true if it did not run
     */
    public boolean notRun() {
        return notRun;
    }

    /**
     * Returns after how many seconds a retry may help.
     *
     * @return the seconds, or 0 if a retry does not help
     */
    public int retryAfterSeconds() {
        return retryAfterSeconds;
    }
}
