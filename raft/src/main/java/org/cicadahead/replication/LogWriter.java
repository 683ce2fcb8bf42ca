package org.cicadahead.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadahead.raft.Output;
import org.cicadahead.raft.RaftSnapshot;
import org.cicadahead.storage.LogStore;
import org.cicadahead.storage.ReplicaFolder;
import org.cicadahead.storage.SnapshotStore;
import org.cicadahead.storage.StorageException;

/**
 * Performs the writes that consensus requests. All queued writes are synced together (group commit). The listener is
 * notified only after the sync and then sends the messages that depend on the writes.
 */
final class LogWriter implements Runnable {
    /** The value of {@link Task#compactTo} that stops the thread. */
    private static final long STOP = -1;

    /** Storing the synced index requires an additional sync, so it is stored at this interval and at a stop. */
    private static final long SYNCED_INDEX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ReplicaFolder folder;
    private final LogStore log;
    private final SnapshotStore snapshots;
    private final Listener listener;
    private final BlockingQueue<Task> queue = new LinkedBlockingQueue<>();
    private final AtomicLong syncs = new AtomicLong();
    private final AtomicLong syncNanos = new AtomicLong();
    private long syncedIndexSavedNanos = System.nanoTime();
    private boolean stopped;

    /** Receives notifications about completed writes. Implementations must not block. */
    interface Listener {
        void synced(long sequence, List<Output> outputs);

        void chunkStored(RaftSnapshot chunk, long nextOffset);

        void failed(StorageException cause);
    }

    /** An output to write, or an index up to which the log may be compacted. */
    private record Task(Output output, long compactTo) {}

    LogWriter(ReplicaFolder folder, Listener listener) {
        this.folder = folder;
        this.log = folder.log();
        this.snapshots = folder.snapshots();
        this.listener = listener;
    }

    void write(Output output) {
        queue.add(new Task(output, 0));
    }

    void compact(long index) {
        queue.add(new Task(null, index));
    }

    /** Stops the thread after all queued tasks are processed. */
    void stop() {
        queue.add(new Task(null, STOP));
    }

    long syncs() {
        return syncs.get();
    }

    long syncNanos() {
        return syncNanos.get();
    }

    @Override
    public void run() {
        List<Task> tasks = new ArrayList<>();
        try {
            while (!stopped) {
                tasks.clear();
                Task first = queue.poll(SYNCED_INDEX_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
                if (first != null) {
                    tasks.add(first);
                    queue.drainTo(tasks);
                }
                process(tasks);
                saveSyncedIndex();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (StorageException e) {
            listener.failed(e);
        } catch (RuntimeException e) {
            listener.failed(new StorageException(StorageException.Kind.FAILED, "the log writer failed", e));
        }
    }

    private void process(List<Task> tasks) throws StorageException {
        if (!tasks.isEmpty()) {
            log.confirmRecovered();
        }
        List<Output> outputs = new ArrayList<>();
        for (Task task : tasks) {
            if (task.output == null && task.compactTo == STOP) {
                stopped = true;
            } else if (task.output == null) {
                log.compact(task.compactTo);
            } else {
                write(log, task.output);
                outputs.add(task.output);
            }
        }
        long start = System.nanoTime();
        if (log.sync()) {
            syncs.incrementAndGet();
            syncNanos.addAndGet(System.nanoTime() - start);
        }
        folder.verifyIdentity();
        if (!outputs.isEmpty()) {
            listener.synced(outputs.get(outputs.size() - 1).sequence(), outputs);
        }
        for (Output output : outputs) {
            if (output.snapshotChunk() != null) {
                listener.chunkStored(output.snapshotChunk(), snapshots.receive(output.snapshotChunk()));
            }
        }
    }

    private void saveSyncedIndex() throws StorageException {
        long now = System.nanoTime();
        if (stopped || now - syncedIndexSavedNanos >= SYNCED_INDEX_INTERVAL_NANOS) {
            syncedIndexSavedNanos = now;
            log.saveSyncedIndex();
        }
    }

    private static void write(LogStore log, Output output) throws StorageException {
        if (output.hardState() != null) {
            log.save(output.hardState());
        }
        if (output.installedSnapshot() != null) {
            log.reset(output.installedSnapshot());
        }
        if (output.truncateFrom() > 0) {
            log.truncateFrom(output.truncateFrom());
        }
        if (!output.newEntries().isEmpty()) {
            log.append(output.newEntries());
        }
    }
}
