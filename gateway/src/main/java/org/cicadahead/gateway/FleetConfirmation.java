package org.cicadahead.gateway;

import java.util.concurrent.CompletableFuture;

/** Tells whether an entry knows all endpoints that the hubs have acknowledged. Thread-safe. */
interface FleetConfirmation {

    /**
     * Confirms that all changes of the fleet before this call are known.
     *
     * @param timeoutMillis how long to wait, in milliseconds
     * @return whether they are; false if it is not certain
     */
    CompletableFuture<Boolean> confirm(long timeoutMillis);
}
