package org.cicadahead.gateway;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Done;

/** How the turn of a request is closed; the first call counts. */
interface TurnCompletion {

    /** Closes a turn that did not end whole; its tokens count against the budget. */
    void settle(long tokens);

    /** Closes a turn that ended whole; ends when the caller may see its end. */
    CompletableFuture<Done> complete(long tokens, byte[] output);
}
