package org.cicadahead.raft;

/** Handles log entries and snapshots that a follower receives from the leader of its term. */
final class Follower {
    private final ReplicaState state;

    Follower(ReplicaState state) {
        this.state = state;
    }

    void appendEntries(RaftAppend append) {
        EntryLog log = state.log;
        long headIndex = log.head().index();
        long prevIndex = append.prevIndex();
        if (prevIndex > log.lastIndex() || prevIndex >= headIndex && log.term(prevIndex) != append.prevTerm()) {
            sendAppendReply(append, false, lastPossibleMatch(prevIndex));
            return;
        }
        for (LogEntry entry : append.entries()) {
            if (entry.index() <= headIndex || log.term(entry.index()) == entry.term()) {
                continue;
            }
            if (entry.index() <= log.lastIndex()) {
                state.truncateFrom(entry.index());
            }
            state.append(entry);
        }
        long match = Math.max(prevIndex + append.entries().size(), headIndex);
        state.commitIndex = Math.max(state.commitIndex, Math.min(append.commit(), match));
        sendAppendReply(append, true, match);
    }

    /**
     * Returns the highest index at which the logs may still match. Skips all entries of the conflicting term, so that
     * the leader finds the matching index after one round trip per term rather than one per entry.
     */
    private long lastPossibleMatch(long prevIndex) {
        long index = Math.min(prevIndex - 1, state.log.lastIndex());
        long conflictingTerm = state.log.term(prevIndex);
        while (conflictingTerm >= 0 && index > state.commitIndex && state.log.term(index) == conflictingTerm) {
            index--;
        }
        return index;
    }

    /** Passes a snapshot chunk on for storage, or confirms the snapshot if the log already has its entries. */
    void receiveChunk(RaftSnapshot chunk) {
        SnapshotHead head = chunk.head();
        if (head.index() <= state.commitIndex || state.log.term(head.index()) == head.term()) {
            state.commitIndex = Math.max(state.commitIndex, head.index());
            confirmSnapshot(chunk);
        } else {
            state.output.snapshotChunk(chunk);
        }
    }

    void confirmSnapshot(RaftSnapshot chunk) {
        sendSnapshotReply(chunk, chunk.offset(), true);
    }

    private void sendSnapshotReply(RaftSnapshot chunk, long offset, boolean done) {
        state.output
                .messagesAfterSync()
                .add(new RaftSnapshotReply(
                        state.self,
                        chunk.from(),
                        state.term(),
                        chunk.head().index(),
                        offset,
                        done,
                        chunk.sentMillis()));
    }

    private void sendAppendReply(RaftAppend append, boolean success, long index) {
        state.output
                .messagesAfterSync()
                .add(new RaftAppendReply(state.self, append.from(), state.term(), success, index, append.sentMillis()));
    }

    /** Rejects a message from the leader of an earlier term; the reply carries the current term. */
    void rejectStaleTerm(RaftAppend append) {
        sendAppendReply(append, false, 0);
    }

    /** Rejects a message from the leader of an earlier term; the reply carries the current term. */
    void rejectStaleTerm(RaftSnapshot chunk) {
        sendSnapshotReply(chunk, 0, false);
    }
}
