package org.cicadahead.queue;

/**
 * The limits of a run queue. Immutable.
 *
 * @param maxQueued the maximum number of waiting runs
 * @param maxQueuedBytes the maximum memory held by waiting runs, in bytes
 * @param maxRunning the maximum number of runs on the engine at once
 * @param maxRunningTokens the maximum estimated number of tokens of all runs on the engine
 */
public record QueueLimits(int maxQueued, long maxQueuedBytes, int maxRunning, long maxRunningTokens) {
    /** The default maximum number of waiting runs. */
    public static final int DEFAULT_MAX_QUEUED = 256;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public QueueLimits {
        if (maxQueued < 1 || maxQueuedBytes < 1 || maxRunning < 1 || maxRunningTokens < 1) {
            throw new IllegalArgumentException("Each limit of the queue must be at least 1");
        }
    }
}
