package org.cicadahead.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** The state that a replica has in each role, and the output under construction. */
final class ReplicaState {
    final ReplicaId self;
    final Timing timing;
    final EntryLog log;
    /** Last entry known to be committed. */
    long commit;
    /** Last entry that is synced here. */
    long durable;
    /** Last entry handed over to be applied. */
    long emitted;

    /** What the latest stored snapshot covers; the log may still hold entries before its end. */
    SnapshotHead snapshot;

    Output out = new Output();

    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private HardState hard;
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

    ReplicaState(ReplicaId self, Timing timing, HardState hard, EntryLog log) {
        this.self = self;
        this.timing = timing;
        this.hard = hard;
        this.syncedTerm = hard.term();
        this.log = log;
        this.snapshot = log.head();
        this.commit = log.head().index();
        this.emitted = commit;
        this.durable = log.lastIndex();
    }

    long term() {
        return hard.term();
    }

    ReplicaId vote() {
        return hard.vote();
    }

    /** Returns the latest term of which the hard state is synced. */
    long syncedTerm() {
        return syncedTerm;
    }

    void hard(HardState next) {
        hard = next;
        out.hardState(next);
    }

    void begin() {
        out = new Output();
    }

    void append(LogEntry entry) {
        log.append(entry);
        out.append().add(entry);
    }

    /** Appends an entry of this leader; the time is that of the last entry unless a later one is given. */
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
        if (index <= commit) {
            throw new IllegalStateException("A committed entry at " + index + " would be removed");
        }
        log.truncateFrom(index);
        out.truncateFrom(index);
        limitDurable(index - 1);
    }

    /** Replaces the log by a snapshot that is stored; keeps later entries if they continue it. */
    void install(SnapshotHead head) {
        if (head.index() > snapshot.index()) {
            snapshot = head;
        }
        if (head.index() <= commit || log.term(head.index()) == head.term()) {
            commit = Math.max(commit, head.index());
            return;
        }
        log.startAt(head);
        commit = head.index();
        emitted = head.index();
        limitDurable(head.index());
        durable = head.index();
        out.reset(head);
    }

    void persisted(long upTo) {
        while (!pendingWrites.isEmpty() && pendingWrites.peek().sequence <= upTo) {
            PendingWrite write = pendingWrites.poll();
            durable = Math.max(durable, write.lastIndex);
            syncedTerm = Math.max(syncedTerm, write.term);
        }
    }

    Output finish() {
        sequence++;
        out.sequence(sequence);
        if (out.hasWrites()) {
            pendingWrites.add(new PendingWrite(sequence, term(), log.lastIndex()));
        }
        long end = Math.min(commit, durable);
        while (emitted < end) {
            emitted++;
            out.committed().add(log.get(emitted));
        }
        return out;
    }

    private void limitDurable(long index) {
        durable = Math.min(durable, index);
        for (PendingWrite write : pendingWrites) {
            write.lastIndex = Math.min(write.lastIndex, index);
        }
    }
}
