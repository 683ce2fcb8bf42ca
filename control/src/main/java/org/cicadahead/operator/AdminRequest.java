package org.cicadahead.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.UUID;
import org.cicadahead.model.RequestId;
import org.cicadahead.wire.Codec;

/**
 * A request to the admin API. Immutable.
 *
 * @param method the HTTP method
 * @param path the decoded segments of the path after {@code /admin/v1}
 * @param ifMatch the header If-Match, or null
 * @param ifNoneMatch the header If-None-Match, or null
 * @param requestId the header Request-Id, or null
 * @param body the body
 */
record AdminRequest(
        String method, List<String> path, String ifMatch, String ifNoneMatch, String requestId, String body) {

    RequestId editRequestId() throws AdminException {
        try {
            return RequestId.of(requestId == null ? UUID.randomUUID().toString() : requestId);
        } catch (IllegalArgumentException e) {
            throw new AdminException(AdminProblem.MALFORMED, e.getMessage());
        }
    }

    JsonNode json() throws AdminException {
        try {
            JsonNode json = Codec.json().readTree(body);
            if (json == null || !json.isObject()) {
                throw new AdminException(AdminProblem.MALFORMED, "the body must be a JSON object");
            }
            return json;
        } catch (JsonProcessingException e) {
            throw new AdminException(AdminProblem.MALFORMED, "the body is not JSON: " + e.getOriginalMessage());
        }
    }

    boolean hasPrecondition() {
        return ifMatch != null || ifNoneMatch != null;
    }

    /** Returns the revision that the edit is based on; 0 if the resource must not exist. */
    long expectedRevision() throws AdminException {
        if (!hasPrecondition()) {
            throw new AdminException(
                    AdminProblem.PRECONDITION_REQUIRED,
                    "the request needs If-Match with the revision, or If-None-Match: *");
        }
        if (ifMatch == null) {
            if (!ifNoneMatch.strip().equals("*")) {
                throw new AdminException(AdminProblem.MALFORMED, "If-None-Match must be *");
            }
            return 0;
        }
        String tag = ifMatch.strip();
        String digits = tag.startsWith("\"") && tag.endsWith("\"") && tag.length() > 2
                ? tag.substring(1, tag.length() - 1)
                : tag;
        try {
            long revision = Long.parseLong(digits);
            if (revision > 0) {
                return revision;
            }
        } catch (NumberFormatException e) {
            throw new AdminException(AdminProblem.MALFORMED, "If-Match must be one revision in quotes: " + tag);
        }
        throw new AdminException(AdminProblem.MALFORMED, "If-Match must be a positive revision: " + tag);
    }
}
