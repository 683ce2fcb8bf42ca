package org.cicadahead.caller;

import java.util.Objects;
import org.cicadahead.model.RefusalReason;

/**
 * A refusal of one request. Immutable.
 *
 * @param reason the reason
 * @param notRun true if the request certainly did not run and will not run; the reason alone does not tell this, as the
 *     same reason may occur before and after a run
 * @param detail a sentence for people
 * @param retryAfterSeconds after how many seconds a retry may help; 0 if it does not help
 */
public record Refusal(RefusalReason reason, boolean notRun, String detail, long retryAfterSeconds) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a value is null
     */
    public Refusal {
        Objects.requireNonNull(reason, "The reason must not be null");
        detail = detail == null || detail.isEmpty() ? reason.title() : detail;
    }

    /**
     * Returns a refusal of a request before anything was done that could run it.
     *
     * @param reason the reason
     * @param detail a sentence for people
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
     * @param detail a sentence for people
     * @return the refusal
     */
    public static Refusal of(RefusalReason reason, boolean notRun, String detail) {
        return new Refusal(reason, notRun, detail, reason.retryAfterSeconds());
    }
}
