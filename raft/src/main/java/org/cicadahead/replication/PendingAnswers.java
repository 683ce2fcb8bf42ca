package org.cicadahead.replication;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** The answers that the thread of consensus owes. Safe for use by several threads. */
final class PendingAnswers {
    private final Set<CompletableFuture<?>> answers = ConcurrentHashMap.newKeySet();
    private volatile ReplicationException closed;

    /** Takes note of an answer; fails it if the replica is stopped, as its event is never run then. */
    <T> CompletableFuture<T> add(CompletableFuture<T> answer) {
        answers.add(answer);
        answer.whenComplete((value, cause) -> answers.remove(answer));
        if (closed != null) {
            answer.completeExceptionally(closed);
        }
        return answer;
    }

    /** Fails all answers, the later ones too. What they ask for may still take effect. */
    void close(Exception cause) {
        if (closed == null) {
            closed = new ReplicationException(true, "the replica is stopped", cause);
        }
        answers.forEach(answer -> answer.completeExceptionally(closed));
    }
}
