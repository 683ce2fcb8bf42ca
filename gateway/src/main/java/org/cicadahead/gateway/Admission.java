package org.cicadahead.gateway;

import org.cicadahead.model.KeyDigests;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.site.SiteIndex;
import org.cicadahead.site.SiteOrganisation;
import org.cicadahead.site.SiteRoute;

/** Finds the route and the organisation of a request. Decides from its arguments alone. */
final class Admission {
    private static final int HASH_BITS = 31;

    private Admission() {}

    /**
     * Returns the request with its route and organisation.
     *
     * @throws RefusedException if the configuration does not allow it
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
        long allowed = caller.timeLeftMillis() < 0
                ? route.timeoutMillis()
                : Math.min(caller.timeLeftMillis(), route.timeoutMillis());
        return new AdmittedRequest(
                caller,
                route,
                index.service(route.service(point(caller))),
                organisation,
                caller.receivedMillis() + allowed);
    }

    /** Returns a number below 1 that is the same for the same line of turns, so that it stays with its service. */
    private static double point(CallerRequest caller) {
        String line = caller.cacheLine().isEmpty() ? caller.attempt() : caller.cacheLine();
        int mixed = line.hashCode() * 0x9E3779B1;
        return (mixed >>> 1) / (double) (1L << HASH_BITS);
    }
}
