package org.cicadahead.queue;

import java.util.Objects;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RunId;

/**
 * A run as the queue sees it. Immutable.
 *
 * @param run the run
 * @param organisation the organisation
 * @param weight its weight, positive
 * @param attainedTokens tokens that the program has used so far
 * @param policy how latency is weighed against fairness
 * @param alone whether nothing else may run at the same time
 * @param tokens the tokens that the run uses at most, by estimate
 * @param bytes the memory that the run holds while it waits
 * @param arrivedMillis when it arrived, in monotonic milliseconds
 * @param deadlineMillis when it must be finished, in monotonic milliseconds
 */
public record QueuedRun(
        RunId run,
        OrganisationId organisation,
        double weight,
        long attainedTokens,
        QueuePolicy policy,
        boolean alone,
        long tokens,
        long bytes,
        long arrivedMillis,
        long deadlineMillis) {
    /** Tokens of attained service up to which a program has the first priority level. */
    private static final long FIRST_LEVEL_TOKENS = 1_024;
    /** Waiting this long, in milliseconds, is worth one priority level. */
    private static final double AGEING_MILLIS_PER_LEVEL = 2_000;

    /**
     * Checks the values.
     *
     * @throws NullPointerException if an id is null
     * @throws IllegalArgumentException if the weight is not positive
     */
    public QueuedRun {
        Objects.requireNonNull(run, "The run must not be null");
        Objects.requireNonNull(organisation, "The organisation must not be null");
        policy = policy == null ? QueuePolicy.FAIR : policy;
        if (!(weight > 0)) {
            throw new IllegalArgumentException("The weight must be positive: " + weight);
        }
        tokens = Math.max(1, tokens);
    }

    /**
     * Returns the priority: the level doubles the attained service each time, and falls with the wait.
     *
     * @param nowMillis the current time
     * @return the priority; the lowest goes first
     */
    double priority(long nowMillis) {
        double level = Math.log(1.0 + attainedTokens / (double) FIRST_LEVEL_TOKENS) / Math.log(2);
        return level - (nowMillis - arrivedMillis) / AGEING_MILLIS_PER_LEVEL;
    }
}
