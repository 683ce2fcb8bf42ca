package org.cicadahead.replication;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.raft.EntryKind;
import org.cicadahead.raft.LogEntry;
import org.cicadahead.raft.SnapshotHead;
import org.cicadahead.storage.SnapshotStore;
import org.cicadahead.storage.StorageException;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;

/** Applies committed entries to the state machine, in order, on one thread. */
final class Applier implements Runnable {
    private static final Task STOP = new Task(List.of(), null);

    private final StateMachine machine;
    private final MessageCatalog catalog;
    private final SnapshotStore snapshots;
    private final PendingProposals pendingProposals;
    private final ReplicationConfig config;
    private final Listener listener;
    private final BlockingQueue<Task> queue = new LinkedBlockingQueue<>();
    private long entriesSinceSnapshot;
    private long bytesSinceSnapshot;
    private volatile long applied;
    private volatile boolean snapshotInProgress;
    private boolean caughtUp;

    /** Receives notifications from the applier. Implementations must not block. */
    interface Listener {
        void snapshotPrepared(long index, StateSnapshot snapshot);

        void failed(Exception cause);

        /** Returns the latest term that the replica knows. */
        long term();
    }

    /** A batch of entries to apply, or a stored snapshot to restore. */
    private record Task(List<LogEntry> entries, SnapshotHead installedSnapshot) {}

    Applier(
            StateMachine machine,
            MessageCatalog catalog,
            SnapshotStore snapshots,
            PendingProposals pendingProposals,
            ReplicationConfig config,
            Listener listener) {
        this.machine = machine;
        this.catalog = catalog;
        this.snapshots = snapshots;
        this.pendingProposals = pendingProposals;
        this.config = config;
        this.listener = listener;
    }

    void apply(List<LogEntry> entries) {
        queue.add(new Task(entries, null));
    }

    void restore(SnapshotHead head) {
        queue.add(new Task(null, head));
    }

    /** Stops the thread after all queued tasks are processed. */
    void stop() {
        queue.add(STOP);
    }

    /** Restores the latest snapshot. Called before the thread starts. */
    void restoreLatest() throws StorageException {
        if (snapshots.latest().index() > 0) {
            applied = snapshots.read(machine::restore).index();
        }
    }

    void snapshotDone() {
        snapshotInProgress = false;
    }

    /** Returns the index of the last applied entry. */
    long applied() {
        return applied;
    }

    @Override
    public void run() {
        try {
            while (true) {
                Task task = queue.take();
                if (task == STOP) {
                    return;
                }
                if (task.installedSnapshot != null) {
                    restoreAt(task.installedSnapshot);
                } else {
                    for (LogEntry entry : task.entries) {
                        applyEntry(entry);
                    }
                    reportCaughtUp(task.entries);
                    prepareSnapshot();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | StorageException | WireException | RuntimeException e) {
            listener.failed(e);
        }
    }

    /**
     * Restores the latest stored snapshot, which may be later than the requested one. Queued entries that it covers are
     * skipped.
     */
    private void restoreAt(SnapshotHead head) throws StorageException {
        if (head.index() > applied) {
            applied = snapshots.read(machine::restore).index();
            entriesSinceSnapshot = 0;
            bytesSinceSnapshot = 0;
        }
    }

    private void applyEntry(LogEntry entry) throws IOException, WireException {
        if (entry.index() <= applied) {
            return;
        }
        Message reply = null;
        if (entry.kind() == EntryKind.COMMAND) {
            reply = machine.apply(entry.index(), entry.millis(), decode(entry));
        }
        applied = entry.index();
        entriesSinceSnapshot++;
        bytesSinceSnapshot += entry.size();
        pendingProposals.applied(entry, reply);
    }

    /**
     * Notifies the state machine when it has caught up, which is after the first entry of the latest term: all entries
     * that were committed in earlier terms precede this entry in the log.
     */
    private void reportCaughtUp(List<LogEntry> entries) {
        if (!caughtUp && !entries.isEmpty() && entries.get(entries.size() - 1).term() == listener.term()) {
            caughtUp = true;
            machine.caughtUp();
        }
    }

    private Command decode(LogEntry entry) throws WireException {
        Class<? extends Message> type = catalog.type(entry.type());
        if (type == null || !Command.class.isAssignableFrom(type)) {
            throw new WireException(
                    WireException.Kind.MALFORMED, "unknown command type " + entry.type() + " in the log");
        }
        return (Command) Codec.unpack(entry.data(), type);
    }

    private void prepareSnapshot() throws IOException {
        boolean due = entriesSinceSnapshot >= config.snapshotEntries() || bytesSinceSnapshot >= config.snapshotBytes();
        if (due && !snapshotInProgress) {
            snapshotInProgress = true;
            entriesSinceSnapshot = 0;
            bytesSinceSnapshot = 0;
            listener.snapshotPrepared(applied, machine.prepareSnapshot());
        }
    }
}
