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
record Resolved(Target target, Work work) {

    static Resolved of(ConfigurationReplica replica, CallerRequest request) throws RefusalException {
        Resolved resolved =
                request.kind() == CallerRequest.Kind.CHAT ? chat(replica, request) : service(replica, request);
        if (!resolved.target().route().repeatable() && request.idempotencyKey() == null) {
            throw new RefusalException(RefusalReason.IDEMPOTENCY_KEY_REQUIRED, "");
        }
        return resolved;
    }

    /** A key that is not valid is refused before the body is looked at, so that strangers cannot make work. */
    private static Resolved chat(ConfigurationReplica replica, CallerRequest request) throws RefusalException {
        if (request.key() != null) {
            Target.organisation(replica, request.key());
        }
        ChatWork chat = ChatWork.parse(request);
        Target target = Target.of(replica, request, chat.route());
        return new Resolved(target, chat.forRoute(target.route()));
    }

    private static Resolved service(ConfigurationReplica replica, CallerRequest request) throws RefusalException {
        return new Resolved(Target.of(replica, request, request.route()), ServiceWork.of(request));
    }
}
