package org.cicadahead.replication;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** The futures that the consensus thread has yet to complete. Thread-safe. */
final class PendingAnswers {
    private final Set<CompletableFuture<?>> answers = ConcurrentHashMap.newKeySet();
    private volatile ReplicationException closed;

    /** Registers a future. Fails it if the replica is stopped, because its event would never run. */
    <T> CompletableFuture<T> add(CompletableFuture<T> answer) {
        answers.add(answer);
        answer.whenComplete((value, cause) -> answers.remove(answer));
        if (closed != null) {
            answer.completeExceptionally(closed);
        }
        return answer;
    }

    /** Fails all pending and all future answers. The requested changes may still take effect. */
    void close(Exception cause) {
        if (closed == null) {
            closed = new ReplicationException(true, "the replica is stopped", cause);
        }
        answers.forEach(answer -> answer.completeExceptionally(closed));
    }
}
