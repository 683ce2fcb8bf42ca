package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Why a request is refused. Each reason has a stable code that callers and operators can rely on.
 *
 * <p>The entry reports a reason as an RFC 9457 problem document and counts it in the metric {@code refusals.<code>}.
 */
public enum RefusalReason {
    /** The request carries no API key, or an unknown one. */
    KEY_INVALID(401, "The key is missing or not valid", true, 0),
    /** The key was revoked while the request ran. */
    KEY_REVOKED(401, "The key was withdrawn", false, 0),
    /** A key was found in the query or in the user info of the URL. */
    KEY_IN_URL(400, "A key must not be part of the URL", true, 0),
    /** The organisation of the key is not allowed to use the route. */
    ROUTE_FORBIDDEN(403, "The organisation may not use this route", true, 0),
    /** There is no route with the requested name. */
    ROUTE_UNKNOWN(404, "The route does not exist", true, 0),
    /** The pool of the route is not configured. */
    POOL_UNKNOWN(503, "The pool of the route does not exist", true, 5),
    /** The request could not be parsed. */
    REQUEST_MALFORMED(400, "The request is malformed", true, 0),
    /** The body is shorter than its declared length. */
    BODY_INCOMPLETE(400, "The request body ended early", true, 0),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, "The request body is too large", true, 0),
    /** A header that cicadahead defines has an invalid value. */
    HEADER_INVALID(400, "A header is not valid", true, 0),
    /** The configuration lease of the process has expired. */
    CONFIGURATION_LEASE_EXPIRED(503, "The entry is cut off from control", true, 2),
    /** The control group has no leader or does not respond. */
    CONTROL_UNAVAILABLE(503, "Control does not answer", true, 2),
    /** Control did not respond at a point when the request may already have been dispatched. */
    OUTCOME_UNCONFIRMED(502, "The outcome could not be confirmed", false, 2),
    /** The organisation has exceeded its rate and burst. */
    RATE_LIMITED(429, "The organisation's rate is used up", true, 1),
    /** The organisation is within its rate, but the entry did not get a rate grant in time. */
    RATE_GRANT_UNAVAILABLE(503, "No rate grant could be had in time", true, 1),
    /** The step is not the next step of the program. */
    STEP_OUT_OF_ORDER(409, "The step is not the next one of the program", true, 0),
    /** The step is already running, so the refusal does not state that the request did not run. */
    STEP_RUNNING(409, "The step is already running", false, 1),
    /** The step was sent before with a different request. */
    STEP_CHANGED(422, "The step was sent before with other content", true, 0),
    /** Another attempt has taken over the step, so the fencing token of this one is stale. */
    STEP_FENCED(409, "Another attempt has taken over the step", false, 0),
    /** The program has ended. */
    PROGRAM_ENDED(410, "The program has ended", true, 0),
    /** The program is not known. */
    PROGRAM_UNKNOWN(404, "The program does not exist", true, 0),
    /** The token budget or the step limit of the program is exhausted. */
    BUDGET_EXHAUSTED(402, "The program's budget is used up", true, 0),
    /** A non-idempotent request carries no idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED(400, "This route requires an Idempotency-Key", true, 0),
    /** The idempotency key was used for another request. */
    IDEMPOTENCY_KEY_REUSED(422, "The idempotency key was used for another request", true, 0),
    /** The claimed request is still running. */
    CLAIM_RUNNING(409, "The request is still running", false, 1),
    /** The outcome of the claimed request is unknown; the request is never run again. */
    OUTCOME_UNKNOWN(409, "The outcome of the request is not known", false, 0),
    /** A later attempt has taken over the claim; this attempt did not run, but the later one may have. */
    CLAIM_FENCED(409, "Another attempt has taken over the request", false, 1),
    /** No endpoint of the pool is available. */
    NO_ENDPOINT(503, "No endpoint is available", true, 2),
    /** The endpoint's queue is full. */
    ENDPOINT_OVERLOADED(503, "The endpoint is overloaded", true, 1),
    /** The endpoint is draining and accepts no new requests. */
    ENDPOINT_LEAVING(503, "The endpoint is leaving", true, 1),
    /** The request would not finish before its deadline. */
    DEADLINE_UNREACHABLE(503, "The deadline cannot be met", true, 1),
    /** The deadline passed while the request ran. */
    DEADLINE_EXCEEDED(504, "The deadline has passed", false, 0),
    /** The engine or service failed while the request ran. */
    ENDPOINT_FAILED(502, "The endpoint failed while the request ran", false, 1),
    /** The connection to the endpoint was lost while the request ran. */
    ENDPOINT_LOST(502, "The endpoint was lost while the request ran", false, 1),
    /** Chunks of the response are missing. */
    ANSWER_INCOMPLETE(502, "Part of the answer is missing", false, 1),
    /** The process has not received a configuration yet. */
    SITE_UNKNOWN(503, "No configuration is known yet", true, 1),
    /** The organisation has no such previous turn. */
    TURN_UNKNOWN(404, "The previous turn does not exist", true, 0),
    /** The stores did not respond, so neither the previous turn nor the budget could be read. */
    STORES_UNAVAILABLE(503, "The stores do not answer", true, 1),
    /** No endpoint of the software version that began the resumed stream is available. */
    STREAM_VERSION_UNAVAILABLE(503, "The stream cannot be resumed", true, 0),
    /** The request has crashed endpoints before and is refused temporarily. */
    REQUEST_POISONOUS(422, "The request has crashed endpoints", true, 600),
    /**
     * The request has crashed several endpoints and is in quarantine. The status states that it has not run, which
     * {@link #REQUEST_POISONOUS} does not.
     */
    REQUEST_QUARANTINED(503, "The request has crashed several endpoints", true, 120),
    /** The caller reads the response too slowly. */
    CALLER_TOO_SLOW(408, "The caller reads too slowly", false, 0),
    /** The caller closed the connection. */
    CALLER_GONE(499, "The caller closed the connection", false, 0),
    /** The entry has reached the limit of requests that its memory allows. */
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
     * Returns the reason with the given code.
     *
     * @param code the code, as {@link #code()} returns it
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
     * Returns a short human-readable summary.
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
     * Returns the number of seconds after which the caller may retry.
     *
     * @return the seconds, or 0 if a retry cannot succeed
     */
    public int retryAfterSeconds() {
        return retryAfterSeconds;
    }
}
