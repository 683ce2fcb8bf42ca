package org.cicadahead.replication;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.raft.Output;
import org.cicadahead.raft.RaftSnapshot;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.raft.SnapshotHead;
import org.cicadahead.storage.SnapshotStore;
import org.cicadahead.storage.StorageException;
import org.jboss.logging.Logger;

/** Writes snapshots and sends them in chunks on a dedicated thread. Thread-safe. */
final class Snapshotter {
    private static final Logger LOG = Logger.getLogger("cicadahead.raft");
    private static final int CHUNK_BYTES = 256 * 1024;

    private final ReplicaId self;
    private final SnapshotStore store;
    private final Transport transport;
    private final ExecutorService executor = Executors.newSingleThreadExecutor(DaemonThreads.named("raft-snapshot"));

    Snapshotter(ReplicaId self, SnapshotStore store, Transport transport) {
        this.self = self;
        this.store = store;
        this.transport = transport;
    }

    /**
     * Writes a snapshot and closes the state it was written from.
     *
     * @param stored receives the head of the snapshot after it is synced
     * @param ended runs when the write has ended, whether it succeeded or failed
     */
    void write(SnapshotHead head, StateSnapshot state, Consumer<SnapshotHead> stored, Runnable ended) {
        boolean accepted = execute(() -> {
            try (state) {
                store.write(head, state::write);
                stored.accept(head);
            } catch (IOException | StorageException | RuntimeException e) {
                LOG.errorf(e, "raft: Cannot write the snapshot at entry %d; keeping the previous one", head.index());
            } finally {
                ended.run();
            }
        });
        if (!accepted) {
            discard(state);
        }
    }

    void send(Output.ChunkSend send) {
        execute(() -> {
            try {
                SnapshotStore.Chunk chunk = store.readChunk(send.head(), send.offset(), CHUNK_BYTES);
                if (chunk != null) {
                    transport.send(new RaftSnapshot(
                            self,
                            send.to(),
                            send.term(),
                            send.head(),
                            send.offset(),
                            chunk.data(),
                            chunk.last(),
                            send.sentMillis()));
                }
            } catch (StorageException e) {
                LOG.errorf(
                        e,
                        "raft: Cannot read the snapshot at entry %d",
                        send.head().index());
            }
        });
    }

    void discard(StateSnapshot state) {
        try {
            state.close();
        } catch (IOException e) {
            LOG.debugf(e, "raft: Cannot close a discarded snapshot");
        }
    }

    void stop(long waitMillis) throws InterruptedException {
        executor.shutdown();
        executor.awaitTermination(waitMillis, TimeUnit.MILLISECONDS);
    }

    boolean isTerminated() {
        return executor.isTerminated();
    }

    private boolean execute(Runnable task) {
        try {
            executor.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            LOG.debugf("raft: The replica is stopped; dropping a snapshot task");
            return false;
        }
    }
}
