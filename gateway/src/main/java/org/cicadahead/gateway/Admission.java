package org.cicadahead.gateway;

import org.cicadahead.model.KeyDigests;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.site.SiteIndex;
import org.cicadahead.site.SiteOrganisation;
import org.cicadahead.site.SiteRoute;

/** Matches a request to its route and organisation. Stateless. */
final class Admission {
    private static final int HASH_BITS = 31;

    private Admission() {}

    /**
     * Resolves the route, service and organisation of a request.
     *
     * @throws RefusedException if there is no configuration, no matching route or no valid key
     */
    static AdmittedRequest admit(CallerRequest caller, SiteIndex index) throws RefusedException {
        if (index == null) {
            throw new RefusedException(RefusalReason.SITE_UNKNOWN);
        }
        SiteRoute route = index.route(caller.host(), caller.path());
        if (route == null) {
            throw new RefusedException(RefusalReason.ROUTE_UNKNOWN);
        }
        SiteOrganisation organisation = null;
        if (index.needsKeys() && !route.open()) {
            organisation = caller.key() == null ? null : index.organisation(KeyDigests.of(caller.key()));
            if (organisation == null) {
                throw new RefusedException(RefusalReason.KEY_INVALID);
            }
        }
        long timeoutMillis = caller.timeLeftMillis() < 0
                ? route.timeoutMillis()
                : Math.min(caller.timeLeftMillis(), route.timeoutMillis());
        return new AdmittedRequest(
                caller,
                route,
                index.service(route.service(hashFraction(caller))),
                organisation,
                AffinityKey.parse(caller.affinityValues()),
                caller.receivedMillis() + timeoutMillis);
    }

    /**
     * Hashes the prompt key to a number in [0, 1), so that all turns of a session are routed to the same service.
     * Requests without a prompt key are spread by their attempt ids.
     */
    private static double hashFraction(CallerRequest caller) {
        String key = caller.promptKey().isEmpty() ? caller.attempt() : caller.promptKey();
        int hash = key.hashCode() * 0x9E3779B1;
        return (hash >>> 1) / (double) (1L << HASH_BITS);
    }
}
