package org.cicadahead.gateway;

import java.util.OptionalLong;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.site.SiteIndex;

/**
 * The first stages of a request: admission and rate limiting. Then either its turn is opened or it is sent to an
 * endpoint.
 */
final class RequestFlow {

    /**
     * The retry delay for callers of an overloaded entry, in milliseconds: about the time in which an endpoint runs one
     * request.
     */
    private static final long OVERLOAD_RETRY_MILLIS = 150;

    /**
     * The time before the end of a shutdown from which on requests are refused, in milliseconds: several times the
     * usual duration of a request, so that one that is still accepted ends before the process does.
     */
    private static final long MIN_RUN_BEFORE_STOP_MILLIS = 500;

    private RequestFlow() {}

    /** Serves a request and sends its response through the exchange. */
    static void serve(GatewayContext context, CallerRequest caller, CallerExchange exchange) {
        boolean hasCapacity = context.hasCapacity();
        RequestScope scope = new RequestScope(context, caller, exchange);
        if (!hasCapacity) {
            scope.refuse(new GatewayRefusal(RefusalReason.ENTRY_OVERLOADED, OVERLOAD_RETRY_MILLIS));
            return;
        }
        if (context.nowMillis() > context.stopMillis() - MIN_RUN_BEFORE_STOP_MILLIS) {
            scope.refuse(RefusalReason.SHUTTING_DOWN);
            return;
        }
        SiteIndex index = context.site();
        AdmittedRequest matched;
        try {
            matched = Admission.admit(caller, index);
        } catch (RefusedException e) {
            scope.refuse(e.refusal());
            return;
        }
        if (caller.receivedMillis() >= context.lateMillis() && matched.deadlineMillis() > context.stopMillis()) {
            scope.refuse(RefusalReason.SHUTTING_DOWN);
            return;
        }
        AdmittedRequest admitted = matched.endingBy(context.stopMillis());
        scope.trace().admitted(admitted, index.site().version());
        if (admitted.affinity() == null) {
            context.counters().affinityIgnored();
        }
        OptionalLong quarantine = context.crashes().quarantineMillis(admitted, context.nowMillis());
        if (quarantine.isPresent()) {
            scope.refuse(new GatewayRefusal(RefusalReason.REQUEST_QUARANTINED, quarantine.getAsLong()));
            return;
        }
        scope.expireAt(admitted.deadlineMillis());
        PriorityClass priority = context.programs().priority(admitted, context.nowMillis());
        scope.trace().priority(priority);
        context.rateLimiter()
                .admit(admitted.organisation(), priority, refusal -> rateDecided(scope, admitted, refusal));
    }

    private static void rateDecided(RequestScope scope, AdmittedRequest admitted, GatewayRefusal refusal) {
        if (refusal != null) {
            scope.refuse(refusal);
            return;
        }
        if (scope.isDone()) {
            scope.context().rateLimiter().refund(admitted.organisation());
            return;
        }
        scope.trace().rateAdmitted(scope.context().nowMillis());
        scope.context().programs().markStarted(admitted);
        if (admitted.isTurn() || admitted.isResumable()) {
            TurnSession.open(scope, admitted);
        } else {
            EndpointAttempts.start(
                    scope, admitted, admitted.caller().body(), EndpointAttempts.NO_TURN, StreamVersions.any());
        }
    }
}
