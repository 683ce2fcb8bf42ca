package org.cicadahead.admission;

import java.util.Optional;
import org.cicadahead.model.RefusalReason;

/**
 * The decision on a request that had to wait. Immutable.
 *
 * @param ticket the ticket of the request, as {@link Admission#request} gave it
 * @param refusal why it is refused, or empty if it is admitted
 * @param retryAfterMillis after how many milliseconds a retry may help; 0 if it is not known
 */
public record AdmissionDecision(long ticket, Optional<RefusalReason> refusal, long retryAfterMillis) {

    static AdmissionDecision admitted(long ticket) {
        return new AdmissionDecision(ticket, Optional.empty(), 0);
    }

    static AdmissionDecision refused(long ticket, RefusalReason reason, long retryAfterMillis) {
        return new AdmissionDecision(ticket, Optional.of(reason), retryAfterMillis);
    }
}
