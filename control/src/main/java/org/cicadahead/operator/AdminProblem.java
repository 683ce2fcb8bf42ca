package org.cicadahead.operator;

import java.util.Locale;
import org.cicadahead.protocol.EditOutcome;

/** The reasons for refusing an admin request. Each reason has a counter {@code admin.refusals.<code>}. */
public enum AdminProblem {
    /** The bearer token is missing or wrong. */
    UNAUTHENTICATED(401, "The bearer token is missing or not valid"),
    /** The request could not be parsed. */
    MALFORMED(400, "The request is malformed"),
    /** The resource is not valid. */
    INVALID(422, "The resource is not valid"),
    /** Neither If-Match nor If-None-Match was sent. */
    PRECONDITION_REQUIRED(428, "A change needs If-Match or If-None-Match: *"),
    /** The edit is based on another revision than the current one. */
    CONFLICT(409, "The resource has changed"),
    /** The resource does not exist. */
    NOT_FOUND(404, "Not found"),
    /** The path does not support the method. */
    METHOD_NOT_ALLOWED(405, "The method is not allowed"),
    /** Several keys begin with the prefix. */
    AMBIGUOUS(409, "More than one key has this prefix"),
    /** The body is larger than the limit. */
    TOO_LARGE(413, "The body is too large"),
    /** No leader is known. */
    NO_LEADER(503, "Control has no leader"),
    /** The storage of this replica has failed; another replica may serve the request. */
    REPLICA_OUT(503, "The replica is out until its storage takes writes"),
    /** The change may or may not be committed; a resend with the same request id returns its result. */
    UNCONFIRMED(504, "The change could not be confirmed"),
    /** The members cannot be changed now. */
    MEMBERS_REFUSED(409, "The members cannot be changed"),
    /** An internal error. */
    INTERNAL(500, "Internal error");

    private final int status;
    private final String title;

    AdminProblem(int status, String title) {
        this.status = status;
        this.title = title;
    }

    /**
     * Returns the problem for the outcome of an edit that was not accepted.
     *
     * @param outcome the outcome
     * @return the problem
     */
    static AdminProblem of(EditOutcome outcome) {
        return valueOf(outcome.name());
    }

    /**
     * Returns the stable code in lower case with underscores.
     *
     * @return the code
     */
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
     * Returns a short human-readable sentence.
     *
     * @return the title
     */
    public String title() {
        return title;
    }
}
