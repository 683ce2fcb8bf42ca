package org.cicadahead.entry;

import org.cicadahead.caller.CallerRequest;
import org.cicadahead.caller.RefusalException;
import org.cicadahead.model.RefusalReason;

/**
 * A request whose key, route and body were checked. Immutable.
 *
 * @param target for whom and where it runs
 * @param work what it asks for
 */
record ResolvedRequest(RequestTarget target, RequestPayload work) {

    static ResolvedRequest of(ConfigurationReplica replica, CallerRequest request) throws RefusalException {
        ResolvedRequest resolved =
                request.kind() == CallerRequest.Kind.CHAT ? chat(replica, request) : service(replica, request);
        if (!resolved.target().route().repeatable() && request.idempotencyKey() == null) {
            throw new RefusalException(RefusalReason.IDEMPOTENCY_KEY_REQUIRED, "");
        }
        return resolved;
    }

    /** A key that is not valid is refused before the body is looked at, so that strangers cannot make work. */
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
