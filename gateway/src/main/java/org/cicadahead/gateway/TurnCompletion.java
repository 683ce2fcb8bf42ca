package org.cicadahead.gateway;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Done;

/** Closes the turn of a request. Only the first call has an effect. */
interface TurnCompletion {

    /** Closes a turn that did not complete; the tokens handed to the caller count against the budget. */
    void settle(long tokens);

    /** Closes a turn that completed; the future completes when the end may be sent to the caller. */
    CompletableFuture<Done> complete(long tokens, byte[] output);
}
