package org.cicadahead.gateway;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Done;

/** The turn of a request in the stores. Only the first call that closes it has an effect. */
interface TurnCompletion {

    /**
     * Records another software version of endpoints at which the request may begin a stream. The request may be sent to
     * such an endpoint once the future has completed.
     */
    CompletableFuture<?> recordVersion(String version);

    /**
     * Closes a turn that has no complete output; only the tokens already sent to the caller count against the budget.
     */
    void closeIncomplete(long tokens);

    /**
     * Closes a turn that completed. The end of the response may be sent to the caller once the future has completed.
     */
    CompletableFuture<Done> complete(long tokens, byte[] output);
}
