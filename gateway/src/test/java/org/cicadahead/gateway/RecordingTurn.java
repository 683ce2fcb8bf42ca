package org.cicadahead.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Done;

/** A turn that records how it was closed. */
final class RecordingTurn implements TurnCompletion {
    final List<String> calls = new ArrayList<>();

    @Override
    public CompletableFuture<?> recordVersion(String version) {
        return CompletableFuture.completedFuture(Done.ok());
    }

    @Override
    public void closeIncomplete(long tokens) {
        calls.add("incomplete");
    }

    @Override
    public CompletableFuture<Done> complete(long tokens, byte[] output) {
        calls.add("complete");
        return CompletableFuture.completedFuture(Done.ok());
    }
}
