package org.cicadahead.gateway;

import org.cicadahead.site.SiteOrganisation;
import org.cicadahead.site.SiteRoute;
import org.cicadahead.site.SiteService;

/**
 * A request that has been matched to its route and organisation. Immutable.
 *
 * @param caller the request
 * @param route its route
 * @param service the service that runs it
 * @param organisation its organisation, or null on open routes
 * @param affinity the object that the request concerns, or null if the caller states it in an invalid way
 * @param deadlineMillis the monotonic time at which the time limit of the caller or route expires, in milliseconds
 */
record AdmittedRequest(
        CallerRequest caller,
        SiteRoute route,
        SiteService service,
        SiteOrganisation organisation,
        AffinityKey affinity,
        long deadlineMillis) {

    String organisationName() {
        return organisation == null ? "" : organisation.name();
    }

    /** Returns the key of requests that should run at the same endpoint; empty if the request may run at any. */
    String placementKey() {
        String object = route.sticky() && affinity != null ? affinity.text() : "";
        if (!service.runsModels()) {
            return object;
        }
        String prompt = caller.promptKey();
        return prompt.isEmpty() ? object : prompt;
    }

    /** Returns the priority of the organisation if it has one, or else of the route; 0 is the highest. */
    int priority() {
        boolean ownPriority = organisation != null && organisation.priority() != null;
        return ownPriority ? organisation.priority() : route.priority();
    }

    /** Returns the id of the request's program, or an empty string if it has none. */
    String program() {
        return caller.programContext() == null ? "" : caller.programContext().program();
    }

    /** Returns this request with a deadline that is no later than a monotonic time. */
    AdmittedRequest endingBy(long millis) {
        return deadlineMillis <= millis
                ? this
                : new AdmittedRequest(caller, route, service, organisation, affinity, millis);
    }

    long leftMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /**
     * Returns whether the stores must track the request, because its turn is kept, continues another turn or counts
     * against a budget.
     */
    boolean isTurn() {
        return route.repetition().isStreamed()
                && (keepsTurn() || !caller.previousTurn().isEmpty() || hasBudget());
    }

    /** Returns whether the response is a stream that the caller may resume after it broke off. */
    boolean isResumable() {
        return route.repetition().isStreamed() && route.resumable();
    }

    /** Returns whether the caller resumes a stream that an earlier attempt began. */
    boolean resumesStream() {
        return isResumable() && caller.lastEventId() >= 0;
    }

    /** Returns the id of the last event that the caller has, if it resumes a stream of this route; -1 otherwise. */
    long lastEventId() {
        return resumesStream() ? caller.lastEventId() : -1;
    }

    boolean keepsTurn() {
        return route.keepsTurns();
    }

    boolean hasBudget() {
        return caller.programContext() != null && caller.programContext().budgetTokens() >= 0;
    }
}
