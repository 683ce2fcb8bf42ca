package org.cicadahead.node;

/** A running role of a daemon. Safe for use by several threads. */
public interface Node {

    /**
     * Returns whether the role can serve, which {@code /readyz} reports.
     *
     * @return true if it can
     */
    boolean isReady();

    /**
     * Shuts down gracefully: takes no new work, finishes what runs, then releases all resources.
     *
     * @param timeoutMillis after this time, in milliseconds, what still runs is cut off
     */
    void shutdown(long timeoutMillis);
}
