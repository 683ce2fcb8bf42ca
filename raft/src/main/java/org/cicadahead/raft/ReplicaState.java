package org.cicadahead.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** The replica state that is common to all roles, and the output that is being built. */
final class ReplicaState {
    final ReplicaId self;
    final Timing timing;
    final EntryLog log;
    /** Index of the last entry that is known to be committed. */
    long commitIndex;
    /** Index of the last entry that is synced on this replica. */
    long durableIndex;
    /** Index of the last entry that was emitted for the state machine to apply. */
    long emittedIndex;

    /** The head of the latest stored snapshot; the log may still hold entries that this snapshot covers. */
    SnapshotHead snapshot;

    Output output = new Output();

    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private HardState hardState;
    private long syncedTerm;
    private long sequence;

    private static final class PendingWrite {
        private final long sequence;
        private final long term;
        private long lastIndex;

        PendingWrite(long sequence, long term, long lastIndex) {
            this.sequence = sequence;
            this.term = term;
            this.lastIndex = lastIndex;
        }
    }

    ReplicaState(ReplicaId self, Timing timing, HardState hardState, EntryLog log) {
        this.self = self;
        this.timing = timing;
        this.hardState = hardState;
        this.syncedTerm = hardState.term();
        this.log = log;
        this.snapshot = log.head();
        this.commitIndex = log.head().index();
        this.emittedIndex = commitIndex;
        this.durableIndex = log.lastIndex();
    }

    long term() {
        return hardState.term();
    }

    ReplicaId vote() {
        return hardState.vote();
    }

    /** Returns the latest term whose hard state is synced. */
    long syncedTerm() {
        return syncedTerm;
    }

    void updateHardState(HardState next) {
        hardState = next;
        output.hardState(next);
    }

    void beginOutput() {
        output = new Output();
    }

    void append(LogEntry entry) {
        log.append(entry);
        output.newEntries().add(entry);
    }

    /**
     * Appends an entry of this leader. Its time is the given time or the time of the last entry, whichever is later.
     */
    LogEntry append(EntryKind kind, long wallMillis, Payload payload, Membership membership) {
        LogEntry entry = new LogEntry(
                log.lastIndex() + 1,
                term(),
                kind,
                Math.max(wallMillis, log.lastMillis()),
                payload == null ? null : payload.type(),
                payload == null ? null : payload.data(),
                membership);
        append(entry);
        return entry;
    }

    void truncateFrom(long index) {
        if (index <= commitIndex) {
            throw new IllegalStateException("The committed entry at index " + index + " cannot be truncated");
        }
        log.truncateFrom(index);
        output.truncateFrom(index);
        limitDurableIndex(index - 1);
    }

    /**
     * Replaces the log by a stored snapshot, unless the log already contains the last entry that the snapshot covers.
     */
    void install(SnapshotHead head) {
        if (head.index() > snapshot.index()) {
            snapshot = head;
        }
        if (head.index() <= commitIndex || log.term(head.index()) == head.term()) {
            commitIndex = Math.max(commitIndex, head.index());
            return;
        }
        log.startAfter(head);
        commitIndex = head.index();
        emittedIndex = head.index();
        limitDurableIndex(head.index());
        durableIndex = head.index();
        output.installedSnapshot(head);
    }

    void persisted(long upTo) {
        while (!pendingWrites.isEmpty() && pendingWrites.peek().sequence <= upTo) {
            PendingWrite write = pendingWrites.poll();
            durableIndex = Math.max(durableIndex, write.lastIndex);
            syncedTerm = Math.max(syncedTerm, write.term);
        }
    }

    Output finishOutput() {
        sequence++;
        output.sequence(sequence);
        if (output.hasWrites()) {
            pendingWrites.add(new PendingWrite(sequence, term(), log.lastIndex()));
        }
        long end = Math.min(commitIndex, durableIndex);
        while (emittedIndex < end) {
            emittedIndex++;
            output.committed().add(log.get(emittedIndex));
        }
        return output;
    }

    /** Lowers the durable index, and the indexes to which pending writes will raise it, after entries were removed. */
    private void limitDurableIndex(long index) {
        durableIndex = Math.min(durableIndex, index);
        for (PendingWrite write : pendingWrites) {
            write.lastIndex = Math.min(write.lastIndex, index);
        }
    }
}
