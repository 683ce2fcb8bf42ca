package org.cicadahead.replication;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadahead.protocol.Message;
import org.cicadahead.raft.LogEntry;

/** The proposals of this replica that are in the log but not yet applied. Thread-safe. */
final class PendingProposals {
    private final Map<Long, Proposal> proposals = new ConcurrentHashMap<>();

    private record Proposal(long term, CompletableFuture<Message> answer) {}

    void add(LogEntry entry, CompletableFuture<Message> answer) {
        proposals.put(entry.index(), new Proposal(entry.term(), answer));
    }

    /** Completes the proposal for an applied entry, if there is one. */
    void applied(LogEntry entry, Message reply) {
        Proposal proposal = proposals.remove(entry.index());
        if (proposal != null) {
            if (proposal.term == entry.term()) {
                proposal.answer.complete(reply);
            } else {
                proposal.answer.completeExceptionally(new ReplicationException(
                        false, "the log entry of the command was overwritten by another entry", null));
            }
        }
    }

    /** Fails all pending proposals. Another leader may still commit their entries. */
    void failAll(String reason) {
        for (Long index : proposals.keySet()) {
            Proposal proposal = proposals.remove(index);
            if (proposal != null) {
                proposal.answer.completeExceptionally(new ReplicationException(true, reason, null));
            }
        }
    }
}
