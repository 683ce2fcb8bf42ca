package org.cicadahead.node;

/** A running role of a daemon. Thread-safe. */
public interface Node {

    /**
     * Returns whether the role is ready to serve, as {@code /readyz} reports it.
     *
     * @return true if the role is ready
     */
    boolean isReady();

    /**
     * Shuts down gracefully: accepts no new requests, finishes the running ones, then releases all resources.
     *
     * @param timeoutMillis the time after which running requests are aborted, in milliseconds
     */
    void shutdown(long timeoutMillis);
}
