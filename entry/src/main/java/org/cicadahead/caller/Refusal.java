package org.cicadahead.caller;

import java.util.Objects;
import org.cicadahead.model.RefusalReason;

/**
 * The refusal of one request. Immutable.
 *
 * @param reason the reason
 * @param notRun true if the request certainly did not run and will not run; it does not follow from the reason, as a
 *     request may be refused for the same reason before and after a run
 * @param detail a human-readable explanation
 * @param retryAfterSeconds delay in seconds after which a retry may succeed; 0 if a retry does not help
 */
public record Refusal(RefusalReason reason, boolean notRun, String detail, long retryAfterSeconds) {

    /**
     * Checks the reason, and replaces a missing detail by the title of the reason.
     *
     * @throws NullPointerException if the reason is null
     */
    public Refusal {
        Objects.requireNonNull(reason, "The reason must not be null");
        detail = detail == null || detail.isEmpty() ? reason.title() : detail;
    }

    /**
     * Returns the refusal of a request that was not dispatched to an endpoint, so that it certainly did not run.
     *
     * @param reason the reason
     * @param detail a human-readable explanation
     * @return the refusal
     */
    public static Refusal before(RefusalReason reason, String detail) {
        return of(reason, true, detail);
    }

    /**
     * Returns a refusal.
     *
     * @param reason the reason
     * @param notRun true if the request certainly did not run and will not run
     * @param detail a human-readable explanation
     * @return the refusal
     */
    public static Refusal of(RefusalReason reason, boolean notRun, String detail) {
        return new Refusal(reason, notRun, detail, reason.retryAfterSeconds());
    }
}
