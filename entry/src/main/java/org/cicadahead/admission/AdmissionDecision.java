package org.cicadahead.admission;

import java.util.Optional;
import org.cicadahead.model.RefusalReason;

/**
 * The decision on a request that waited for a grant. Immutable.
 *
 * @param ticket the ticket that {@link Admission#request} returned for the request
 * @param refusal the reason of the refusal, or empty if the request is admitted
 * @param retryAfterMillis delay in milliseconds after which a retry may succeed; 0 if unknown
 */
public record AdmissionDecision(long ticket, Optional<RefusalReason> refusal, long retryAfterMillis) {

    static AdmissionDecision admitted(long ticket) {
        return new AdmissionDecision(ticket, Optional.empty(), 0);
    }

    static AdmissionDecision refused(long ticket, RefusalReason reason, long retryAfterMillis) {
        return new AdmissionDecision(ticket, Optional.of(reason), retryAfterMillis);
    }
}
