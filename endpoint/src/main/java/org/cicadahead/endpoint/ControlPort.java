package org.cicadahead.endpoint;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Message;

/** Sends requests to the leader of control, as {@link org.cicadahead.wire.ControlClient#call} does. */
interface ControlPort {
    <R extends Message> CompletableFuture<R> call(Message request, Class<R> type, long timeoutMillis);
}
