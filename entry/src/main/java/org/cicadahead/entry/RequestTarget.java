package org.cicadahead.entry;

import org.cicadahead.caller.CallerRequest;
import org.cicadahead.caller.RefusalException;
import org.cicadahead.model.Key;
import org.cicadahead.model.KeyDigest;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.Pool;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.Route;
import org.cicadahead.model.RouteName;

/**
 * The organisation on whose behalf a request runs, with its route and pool. Immutable.
 *
 * @param route the route
 * @param pool the pool of the route
 * @param organisation the organisation; {@code open} for callers without a key
 * @param limits the limits of the organisation, or null if callers without a key are not limited
 * @param key the digest of the key, or null
 */
record RequestTarget(Route route, Pool pool, OrganisationId organisation, Organisation limits, KeyDigest key) {
    private static final OrganisationId OPEN = OrganisationId.of("open");

    /** Resolves the target of a request that runs on an endpoint. */
    static RequestTarget of(ConfigurationReplica replica, CallerRequest request, RouteName name)
            throws RefusalException {
        Organisation organisation = request.key() == null ? null : organisation(replica, request.key());
        Route route = replica.route(name).orElse(null);
        if (organisation == null && (route == null || !route.open())) {
            throw keyInvalid();
        }
        if (route == null) {
            throw new RefusalException(RefusalReason.ROUTE_UNKNOWN, "There is no route " + name);
        }
        if (!route.open() && !route.allows(organisation.name())) {
            throw new RefusalException(RefusalReason.ROUTE_FORBIDDEN, "The organisation may not use route " + name);
        }
        boolean chat = request.kind() == CallerRequest.Kind.CHAT;
        if (chat != route.target().cachesPrefixes()) {
            throw new RefusalException(RefusalReason.ROUTE_UNKNOWN, "The route does not serve this kind of request");
        }
        Pool pool = replica.pool(route.pool())
                .orElseThrow(() -> new RefusalException(
                        RefusalReason.POOL_UNKNOWN, "The pool of route " + name + " does not exist"));
        if (organisation == null) {
            return new RequestTarget(
                    route, pool, OPEN, replica.organisation(OPEN).orElse(null), null);
        }
        return new RequestTarget(route, pool, organisation.name(), organisation, request.key());
    }

    /** Returns the organisation of a key. */
    static Organisation organisation(ConfigurationReplica replica, KeyDigest digest) throws RefusalException {
        Key key = digest == null ? null : replica.key(digest).orElse(null);
        Organisation organisation =
                key == null ? null : replica.organisation(key.organisation()).orElse(null);
        if (organisation == null) {
            throw keyInvalid();
        }
        return organisation;
    }

    private static RefusalException keyInvalid() {
        return new RefusalException(RefusalReason.KEY_INVALID, "");
    }
}
