package org.cicadahead.replication;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** The futures that the consensus thread has yet to complete. Thread-safe. */
final class PendingAnswers {
    private final Set<CompletableFuture<?>> answers = ConcurrentHashMap.newKeySet();
    private volatile ReplicationException stopFailure;

    /** Registers a future. If the replica is stopped, the future fails at once, because its event would never run. */
    <T> CompletableFuture<T> add(CompletableFuture<T> answer) {
        answers.add(answer);
        answer.whenComplete((value, cause) -> answers.remove(answer));
        if (stopFailure != null) {
            answer.completeExceptionally(stopFailure);
        }
        return answer;
    }

    /** Fails all pending answers and all that are registered later. The requested changes may still take effect. */
    void close(Exception cause) {
        if (stopFailure == null) {
            stopFailure = new ReplicationException(true, "the replica is stopped", cause);
        }
        answers.forEach(answer -> answer.completeExceptionally(stopFailure));
    }
}
