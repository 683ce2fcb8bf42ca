package org.cicadahead.entry;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RefusalReason;

/** Decides whether a request may be retried on another endpoint. One instance per request; not thread-safe. */
final class RetryPolicy {
    private static final int MAX_RETRIES = 3;
    /**
     * Number of endpoints that may fail while running the request before it is not retried any more. The request may
     * have caused their crashes.
     */
    private static final int MAX_CRASHES = 2;

    private static final Set<RefusalReason> RETRIED = EnumSet.of(
            RefusalReason.ENDPOINT_LEAVING,
            RefusalReason.ENDPOINT_OVERLOADED,
            RefusalReason.ENDPOINT_FAILED,
            RefusalReason.ENDPOINT_LOST,
            RefusalReason.ANSWER_INCOMPLETE,
            RefusalReason.DEADLINE_UNREACHABLE,
            RefusalReason.CONFIGURATION_LEASE_EXPIRED,
            RefusalReason.CONTROL_UNAVAILABLE,
            RefusalReason.CLAIM_FENCED,
            RefusalReason.NO_ENDPOINT,
            RefusalReason.SHUTTING_DOWN);
    private static final Set<RefusalReason> FAULTS = EnumSet.of(
            RefusalReason.ENDPOINT_FAILED,
            RefusalReason.ENDPOINT_LOST,
            RefusalReason.ANSWER_INCOMPLETE,
            RefusalReason.CONFIGURATION_LEASE_EXPIRED);

    private final Map<EndpointId, RefusalReason> failed = new LinkedHashMap<>();
    private final Set<EndpointId> crashed = new HashSet<>();
    private int retries;

    /** Returns whether a reason counts as a fault of the endpoint. */
    static boolean isFault(RefusalReason reason) {
        return FAULTS.contains(reason);
    }

    /**
     * Returns whether an endpoint's refusal of a claimed request is final, so that control need not be asked for the
     * outcome.
     */
    static boolean isFinal(RefusalReason reason) {
        return reason == RefusalReason.OUTCOME_UNKNOWN || reason == RefusalReason.REQUEST_POISONOUS;
    }

    boolean allowsRetry(EndpointRun.Failure failure, EndpointId endpoint) {
        failed.put(endpoint, failure.reason());
        if (failure.reason() == RefusalReason.ENDPOINT_FAILED && !failure.notRun()) {
            crashed.add(endpoint);
        }
        return RETRIED.contains(failure.reason()) && crashed.size() < MAX_CRASHES && retries++ < MAX_RETRIES;
    }

    /**
     * Returns the endpoints that failed, in the order of their first failure, each with the reason of its last failure.
     */
    Map<EndpointId, RefusalReason> failed() {
        return failed;
    }

    Set<EndpointId> crashed() {
        return crashed;
    }
}
