package org.cicadahead.queue;

import java.util.List;
import java.util.Optional;
import org.cicadahead.model.RefusalReason;

/**
 * The result of offering a run to the queue. Immutable.
 *
 * @param refusal why the run was not queued, or empty if it was queued
 * @param evicted waiting runs of other organisations that were removed to make room; the caller must refuse them as
 *     {@link RefusalReason#ENDPOINT_OVERLOADED}
 */
public record OfferResult(Optional<RefusalReason> refusal, List<QueuedRun> evicted) {

    /** Copies the list of evicted runs. */
    public OfferResult {
        evicted = List.copyOf(evicted);
    }

    static OfferResult refused(RefusalReason reason, List<QueuedRun> evicted) {
        return new OfferResult(Optional.of(reason), evicted);
    }

    static OfferResult queued(List<QueuedRun> evicted) {
        return new OfferResult(Optional.empty(), evicted);
    }
}
