package org.cicadahead.queue;

import java.util.List;
import java.util.Optional;
import org.cicadahead.model.RefusalReason;

/**
 * What became of a run offered to the queue. Immutable.
 *
 * @param refusal why it was not queued, or empty
 * @param displaced waiting runs of another organisation that gave way; they are refused as overloaded
 */
public record OfferResult(Optional<RefusalReason> refusal, List<QueuedRun> displaced) {

    /** Copies the list. */
    public OfferResult {
        displaced = List.copyOf(displaced);
    }

    static OfferResult refused(RefusalReason reason, List<QueuedRun> displaced) {
        return new OfferResult(Optional.of(reason), displaced);
    }

    static OfferResult queued(List<QueuedRun> displaced) {
        return new OfferResult(Optional.empty(), displaced);
    }
}
