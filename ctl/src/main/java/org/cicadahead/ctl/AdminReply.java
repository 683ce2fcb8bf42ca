package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An answer of the admin API. Immutable.
 *
 * @param status the HTTP status
 * @param revision the revision of the resource, or -1 if the answer names none
 * @param body the body; a missing node if it is empty
 */
record AdminReply(int status, long revision, JsonNode body) {
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;
    /** Other reasons with the same status, such as an ambiguous prefix, are plain refusals. */
    private static final String CONFLICT_REASON = "conflict";

    private static final int MIN_ERROR = 400;

    boolean isNotFound() {
        return status == NOT_FOUND;
    }

    /** Returns this answer if it is a success. */
    AdminReply orThrow(String what) throws CtlException {
        if (status < MIN_ERROR) {
            return this;
        }
        boolean conflict = status == PRECONDITION_FAILED
                || status == CONFLICT
                        && body.path("reason").asText(CONFLICT_REASON).equals(CONFLICT_REASON);
        String detail = body.path("detail").asText(body.path("title").asText("status " + status));
        String current = conflict && revision >= 0 ? " (current revision " + revision + ")" : "";
        throw new CtlException(conflict ? ExitCode.CONFLICT : ExitCode.REFUSED, what + ": " + detail + current, null);
    }

    /** Returns the resource itself, whether or not the answer wraps it with its revision. */
    JsonNode resource() {
        return body.has("body") && body.has("revision") ? body.get("body") : body;
    }
}
