package org.cicadahead.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cicadahead.protocol.ResourceChange;
import org.cicadahead.wire.Codec;

/**
 * A reply of the admin API. Immutable.
 *
 * @param status the HTTP status
 * @param revision the revision for the ETag, or 0 for none
 * @param location the URL of the request at the leader for a redirect, or null
 * @param contentType the content type
 * @param body the body, or null
 */
record AdminReply(int status, long revision, String location, String contentType, JsonNode body) {
    static final int OK = 200;
    static final int CREATED = 201;
    static final int ACCEPTED = 202;

    private static final String JSON = "application/json";
    private static final String PROBLEM = "application/problem+json";
    private static final String TYPE_PREFIX = "urn:cicadahead:admin:";
    private static final int TEMPORARY_REDIRECT = 307;

    static AdminReply of(int status, Object body) {
        return new AdminReply(status, 0, null, JSON, Codec.json().valueToTree(body));
    }

    static AdminReply of(int status, ResourceChange resource) {
        return new AdminReply(
                status, resource.revision(), null, JSON, Codec.json().valueToTree(resource));
    }

    static AdminReply redirect(String location) {
        return new AdminReply(TEMPORARY_REDIRECT, 0, location, JSON, null);
    }

    static AdminReply problem(AdminException failure) {
        AdminProblem problem = failure.problem();
        ObjectNode body = Codec.json()
                .createObjectNode()
                .put("type", TYPE_PREFIX + problem.code())
                .put("title", problem.title())
                .put("status", problem.status())
                .put("detail", failure.getMessage())
                .put("reason", problem.code());
        ResourceChange current = failure.current();
        if (current != null) {
            body.put("revision", current.revision());
            body.set("current", current.body());
        }
        return new AdminReply(problem.status(), current == null ? 0 : current.revision(), null, PROBLEM, body);
    }
}
