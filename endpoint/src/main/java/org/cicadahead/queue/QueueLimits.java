package org.cicadahead.queue;

/**
 * The bounds of a run queue. Immutable.
 *
 * @param maxQueued how many runs may wait
 * @param maxQueuedBytes how much memory waiting runs may hold
 * @param maxRunning how many runs may be with the engine at once
 * @param maxRunningTokens the tokens of all runs that are with the engine
 */
public record QueueLimits(int maxQueued, long maxQueuedBytes, int maxRunning, long maxRunningTokens) {
    /** How many runs may wait. */
    public static final int DEFAULT_MAX_QUEUED = 256;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public QueueLimits {
        if (maxQueued < 1 || maxQueuedBytes < 1 || maxRunning < 1 || maxRunningTokens < 1) {
            throw new IllegalArgumentException("The limits of the queue must be at least 1");
        }
    }
}
