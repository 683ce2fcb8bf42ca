package org.cicadahead.gateway;

import org.cicadahead.site.SiteOrganisation;
import org.cicadahead.site.SiteRoute;
import org.cicadahead.site.SiteService;

/**
 * A request whose route and organisation are known. Immutable.
 *
 * @param caller the request
 * @param route its route
 * @param service the service that runs it
 * @param organisation its organisation, or null on open routes
 * @param deadlineMillis the monotonic time at which the caller or the route gives up, in milliseconds
 */
record AdmittedRequest(
        CallerRequest caller,
        SiteRoute route,
        SiteService service,
        SiteOrganisation organisation,
        long deadlineMillis) {

    String organisationName() {
        return organisation == null ? "" : organisation.name();
    }

    /** Returns the program that the request belongs to, or an empty text. */
    String program() {
        return caller.programContext() == null ? "" : caller.programContext().program();
    }

    long leftMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /** Returns whether the stores have to know of the request. */
    boolean isTurn() {
        return route.repetition().isStreamed()
                && (keepsTurn() || !caller.previousTurn().isEmpty() || hasBudget());
    }

    boolean keepsTurn() {
        return route.keepsTurns();
    }

    boolean hasBudget() {
        return caller.programContext() != null && caller.programContext().budgetTokens() >= 0;
    }
}
