package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A response of the admin API. Immutable.
 *
 * @param status the HTTP status code
 * @param revision the revision of the resource, or -1 if the response contains none
 * @param body the body, or a missing node if it is empty
 */
record AdminReply(int status, long revision, JsonNode body) {
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;
    /** The reason of a revision conflict. Other reasons with status 409, such as an ambiguous prefix, are refusals. */
    private static final String CONFLICT_REASON = "conflict";

    private static final int MIN_ERROR_STATUS = 400;

    boolean isNotFound() {
        return status == NOT_FOUND;
    }

    /** Returns this response if it is a success; otherwise throws an exception whose message names the subject. */
    AdminReply orThrow(String subject) throws CtlException {
        if (status < MIN_ERROR_STATUS) {
            return this;
        }
        boolean conflict = status == PRECONDITION_FAILED
                || status == CONFLICT
                        && body.path("reason").asText(CONFLICT_REASON).equals(CONFLICT_REASON);
        String detail = body.path("detail").asText(body.path("title").asText("status " + status));
        String revisionNote = conflict && revision >= 0 ? " (current revision " + revision + ")" : "";
        throw new CtlException(
                conflict ? ExitCode.CONFLICT : ExitCode.REFUSED, subject + ": " + detail + revisionNote, null);
    }

    /** Returns the resource itself, whether or not the response wraps it together with its revision. */
    JsonNode resource() {
        return body.has("body") && body.has("revision") ? body.get("body") : body;
    }
}
