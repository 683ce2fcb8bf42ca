package org.cicadahead.gateway;

import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.site.SiteIndex;

/**
 * The first stages of a request: route and organisation, then the organisation's rate, then the turn or the endpoint.
 */
final class RequestFlow {

    /** When a caller should come back to an entry without room, in milliseconds: about one run. */
    private static final long FULL_RETRY_MILLIS = 150;

    private RequestFlow() {}

    /** Serves a request. */
    static void serve(GatewayContext context, CallerRequest caller, CallerExchange exchange) {
        boolean room = context.hasRoom();
        RequestScope scope = new RequestScope(context, caller, exchange);
        if (!room) {
            scope.refuse(new GatewayRefusal(RefusalReason.ENTRY_OVERLOADED, FULL_RETRY_MILLIS));
            return;
        }
        SiteIndex index = context.site();
        AdmittedRequest admitted;
        try {
            admitted = Admission.admit(caller, index);
        } catch (RefusedException e) {
            scope.refuse(e.refusal());
            return;
        }
        scope.trace().admitted(admitted, index.site().version());
        scope.expireAt(admitted.deadlineMillis());
        PriorityClass priority = context.programs().priority(admitted, caller.receivedMillis());
        scope.trace().priority(priority);
        context.rates().admit(admitted.organisation(), priority, refusal -> rated(scope, admitted, refusal));
    }

    private static void rated(RequestScope scope, AdmittedRequest admitted, GatewayRefusal refusal) {
        if (refusal != null) {
            scope.refuse(refusal);
            return;
        }
        if (scope.isDone()) {
            scope.context().rates().giveBack(admitted.organisation());
            return;
        }
        scope.trace().rated(scope.context().nowMillis());
        scope.context().programs().begun(admitted);
        if (admitted.isTurn()) {
            TurnSession.open(scope, admitted);
        } else {
            EndpointAttempts.start(scope, admitted, admitted.caller().body(), EndpointAttempts.NO_TURN);
        }
    }
}
