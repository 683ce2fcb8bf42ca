package org.cicadahead.queue;

import java.util.List;
import java.util.Optional;
import org.cicadahead.model.RefusalReason;

/**
 * What became of a run offered to the queue. Immutable.
 *
 * @param refusal why it was not queued, or empty
 * @param evicted waiting runs of another organisation that gave way; they are refused as overloaded
 */
public record OfferResult(Optional<RefusalReason> refusal, List<QueuedRun> evicted) {

    /** Copies the list. */
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
