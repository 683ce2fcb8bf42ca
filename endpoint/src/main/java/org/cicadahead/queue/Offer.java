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
public record Offer(Optional<RefusalReason> refusal, List<QueuedRun> displaced) {

    /** Copies the list. */
    public Offer {
        displaced = List.copyOf(displaced);
    }

    static Offer refused(RefusalReason reason, List<QueuedRun> displaced) {
        return new Offer(Optional.of(reason), displaced);
    }

    static Offer queued(List<QueuedRun> displaced) {
        return new Offer(Optional.empty(), displaced);
    }
}
