package org.cicadahead.queue;

import java.util.Objects;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RunId;

/**
 * The properties of a run that the queue uses. Immutable.
 *
 * @param run the id of the run
 * @param organisation the organisation that the run belongs to
 * @param weight the weight of the organisation, positive
 * @param attainedTokens the number of tokens that the program has used so far
 * @param policy how the queue trades latency against fairness; null means {@link QueuePolicy#FAIR}
 * @param exclusive whether no other run may be on the engine at the same time
 * @param tokens the estimated maximum number of tokens that the run uses
 * @param bytes the memory that the run holds while it waits, in bytes
 * @param arrivedMillis the time at which it arrived, in monotonic milliseconds
 * @param deadlineMillis the time by which it must be finished, in monotonic milliseconds
 */
public record QueuedRun(
        RunId run,
        OrganisationId organisation,
        double weight,
        long attainedTokens,
        QueuePolicy policy,
        boolean exclusive,
        long tokens,
        long bytes,
        long arrivedMillis,
        long deadlineMillis) {
    /** Number of attained tokens up to which a program is on the first priority level. */
    private static final long FIRST_LEVEL_TOKENS = 1_024;
    /** The waiting time, in milliseconds, that improves the priority by one level. */
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
     * Returns the priority value. It grows by about one each time the attained tokens of the program double, and
     * decreases while the run waits.
     *
     * @param nowMillis the current time
     * @return the priority value; the run with the lowest value is started first
     */
    double priority(long nowMillis) {
        double level = Math.log(1.0 + attainedTokens / (double) FIRST_LEVEL_TOKENS) / Math.log(2);
        return level - (nowMillis - arrivedMillis) / AGEING_MILLIS_PER_LEVEL;
    }
}
