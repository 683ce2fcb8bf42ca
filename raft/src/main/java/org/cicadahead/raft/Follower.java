package org.cicadahead.raft;

/** How a replica takes entries and snapshots of the leader of its term. */
final class Follower {
    private final ReplicaState state;

    Follower(ReplicaState state) {
        this.state = state;
    }

    void append(RaftAppend append) {
        EntryLog log = state.log;
        long base = log.head().index();
        long prev = append.prevIndex();
        if (prev > log.lastIndex() || prev >= base && log.term(prev) != append.prevTerm()) {
            reply(append, false, lastPossibleMatch(prev));
            return;
        }
        for (LogEntry entry : append.entries()) {
            if (entry.index() <= base || log.term(entry.index()) == entry.term()) {
                continue;
            }
            if (entry.index() <= log.lastIndex()) {
                state.truncateFrom(entry.index());
            }
            state.append(entry);
        }
        long match = Math.max(prev + append.entries().size(), base);
        state.commit = Math.max(state.commit, Math.min(append.commit(), match));
        reply(append, true, match);
    }

    /** Skips the whole conflicting term, so that a long false tail costs one round for each term. */
    private long lastPossibleMatch(long prev) {
        long index = Math.min(prev - 1, state.log.lastIndex());
        long conflicting = state.log.term(prev);
        while (conflicting >= 0 && index > state.commit && state.log.term(index) == conflicting) {
            index--;
        }
        return index;
    }

    void snapshot(RaftSnapshot chunk) {
        SnapshotHead head = chunk.head();
        if (head.index() <= state.commit || state.log.term(head.index()) == head.term()) {
            state.commit = Math.max(state.commit, head.index());
            snapshotDone(chunk);
        } else {
            state.out.store(chunk);
        }
    }

    void snapshotDone(RaftSnapshot chunk) {
        snapshotReply(chunk, chunk.offset(), true);
    }

    private void snapshotReply(RaftSnapshot chunk, long offset, boolean done) {
        state.out
                .afterSync()
                .add(new RaftSnapshotReply(
                        state.self,
                        chunk.from(),
                        state.term(),
                        chunk.head().index(),
                        offset,
                        done,
                        chunk.sentMillis()));
    }

    private void reply(RaftAppend append, boolean success, long index) {
        state.out
                .afterSync()
                .add(new RaftAppendReply(state.self, append.from(), state.term(), success, index, append.sentMillis()));
    }

    /** Tells the leader of an earlier term that there is a later one. */
    void refuse(RaftAppend append) {
        reply(append, false, 0);
    }

    /** Tells the leader of an earlier term that there is a later one. */
    void refuse(RaftSnapshot chunk) {
        snapshotReply(chunk, 0, false);
    }
}
