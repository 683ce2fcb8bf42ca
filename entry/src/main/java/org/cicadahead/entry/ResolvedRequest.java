package org.cicadahead.entry;

import org.cicadahead.caller.CallerRequest;
import org.cicadahead.caller.RefusalException;
import org.cicadahead.model.RefusalReason;

/**
 * A request after validation of its key, route and body. Immutable.
 *
 * @param target the organisation, route and pool of the request
 * @param payload the payload for the endpoint
 */
record ResolvedRequest(RequestTarget target, RequestPayload payload) {

    static ResolvedRequest of(ConfigurationReplica replica, CallerRequest request) throws RefusalException {
        ResolvedRequest resolved =
                request.kind() == CallerRequest.Kind.CHAT ? chat(replica, request) : service(replica, request);
        if (!resolved.target().route().repeatable() && request.idempotencyKey() == null) {
            throw new RefusalException(RefusalReason.IDEMPOTENCY_KEY_REQUIRED, "");
        }
        return resolved;
    }

    /**
     * Resolves a chat completion. The key is checked before the body is parsed, so that callers without a valid key
     * cannot cause parsing work.
     */
    private static ResolvedRequest chat(ConfigurationReplica replica, CallerRequest request) throws RefusalException {
        if (request.key() != null) {
            RequestTarget.organisation(replica, request.key());
        }
        ChatPayload chat = ChatPayload.parse(request);
        RequestTarget target = RequestTarget.of(replica, request, chat.route());
        return new ResolvedRequest(target, chat.forRoute(target.route()));
    }

    private static ResolvedRequest service(ConfigurationReplica replica, CallerRequest request)
            throws RefusalException {
        return new ResolvedRequest(RequestTarget.of(replica, request, request.route()), ServicePayload.of(request));
    }
}
