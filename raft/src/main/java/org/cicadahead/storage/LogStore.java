package org.cicadahead.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cicadahead.raft.HardState;
import org.cicadahead.raft.LogEntry;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.raft.SnapshotHead;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * Stores the log and the hard state of a replica in files. Not thread-safe.
 *
 * <p>After an exception, the store must not be written to any more; after a restart, it contains everything that was
 * synced. Use {@link ReplicaFolder#open} to open it.
 *
 * <p>The index of the last synced entry is stored with the hard state, by {@link #saveSyncedIndex()} and whenever the
 * hard state or the last segment changes. A log that ends before this index is rejected as corrupt. Two kinds of damage
 * are not detected: the loss of whole records at the end that were synced after the index was last stored, because they
 * look like writes that were never synced, and the restoration of all files to an earlier state.
 */
public final class LogStore implements Closeable {
    static final String STATE_FILE = "hard-state";

    private static final Logger LOG = Logger.getLogger("cicadahead.raft");

    private final Path folder;
    private final long segmentBytes;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private HardState hardState = HardState.INITIAL;
    private List<LogEntry> recovered = List.of();
    private boolean nextIsFirstAfterSync = true;
    private boolean unsynced;
    private long syncedIndex;
    private long savedSyncedIndex;
    /** The first recovered entry that may be in memory only, or 0 after {@link #confirmRecovered()}. */
    private long unconfirmedIndex;

    /**
     * The hard state as stored in its file, together with the first index of the last segment and the index of the last
     * entry known to be synced. With these indexes, recovery detects missing and truncated log files.
     */
    private record StoredState(long term, ReplicaId vote, long lastSegment, long syncedIndex) {}

    private LogStore(Path folder, long segmentBytes) {
        this.folder = folder;
        this.segmentBytes = segmentBytes;
    }

    /** Creates the log files of a new replica. */
    static LogStore create(Path folder, long segmentBytes) throws StorageException {
        LogStore store = new LogStore(folder, segmentBytes);
        store.runFileOperation("create the log", () -> {
            store.segments.add(Segment.create(folder, 1));
            store.saveState(HardState.INITIAL, 1);
        });
        return store;
    }

    /** Opens the log files of an existing replica and recovers their entries. */
    static LogStore recover(Path folder, long segmentBytes, SnapshotHead head) throws StorageException {
        LogStore store = new LogStore(folder, segmentBytes);
        try {
            store.runFileOperation("recover the log", () -> store.recover(head));
            return store;
        } catch (StorageException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    /** Returns whether the folder holds log entries or a term, which means that it belonged to a replica. */
    static boolean containsData(Path folder) throws IOException, StorageException {
        for (Path file : segmentFiles(folder).values()) {
            if (Files.size(file) > Segment.HEADER_BYTES) {
                return true;
            }
        }
        byte[] state = DurableFiles.read(folder.resolve(STATE_FILE));
        return state != null && decode(state).term() > 0;
    }

    /**
     * Returns the current hard state.
     *
     * @return the hard state
     */
    public HardState hardState() {
        return hardState;
    }

    /**
     * Returns the recovered entries that follow the snapshot, and releases them: later calls return an empty list.
     *
     * @return the entries
     */
    public List<LogEntry> takeRecovered() {
        List<LogEntry> entries = recovered;
        recovered = List.of();
        return entries;
    }

    /**
     * Writes and syncs the end of the recovered log and the hard state again. After a failed sync, the operating system
     * may hold them only in memory and report later syncs as successful. Must be called before the first other write
     * and before any message that depends on the recovered state; later calls have no effect.
     *
     * @throws StorageException if they cannot be written
     */
    public void confirmRecovered() throws StorageException {
        if (unconfirmedIndex > 0) {
            runFileOperation("write the recovered log again", () -> {
                segments.getLast().rewriteFrom(unconfirmedIndex);
                segments.getLast().sync();
                saveState(hardState, segments.getLast().firstIndex());
            });
            unconfirmedIndex = 0;
        }
    }

    /**
     * Persists the hard state.
     *
     * @param next the hard state
     * @throws StorageException if it cannot be written
     */
    public void save(HardState next) throws StorageException {
        runFileOperation(
                "write the hard state", () -> saveState(next, segments.getLast().firstIndex()));
    }

    /**
     * Appends entries to the log. They are durable after {@link #sync()}.
     *
     * @param entries the entries
     * @throws StorageException if they cannot be written
     */
    public void append(List<LogEntry> entries) throws StorageException {
        runFileOperation("write the log", () -> {
            List<byte[]> records = new ArrayList<>();
            for (LogEntry entry : entries) {
                records.add(Segment.encode(entry, nextIsFirstAfterSync));
                nextIsFirstAfterSync = false;
                unsynced = true;
            }
            segments.getLast().write(records);
            if (segments.getLast().size() >= segmentBytes) {
                roll();
            }
        });
    }

    /**
     * Syncs the appended entries.
     *
     * @return whether there was anything to sync
     * @throws StorageException if the sync fails; the entries may or may not be durable
     */
    public boolean sync() throws StorageException {
        if (!unsynced) {
            return false;
        }
        runFileOperation("sync the log", () -> segments.getLast().sync());
        unsynced = false;
        nextIsFirstAfterSync = true;
        syncedIndex = segments.getLast().nextIndex() - 1;
        return true;
    }

    /**
     * Persists the index of the last synced entry if it has advanced since it was last stored.
     *
     * @throws StorageException if it cannot be written
     */
    public void saveSyncedIndex() throws StorageException {
        if (syncedIndex > savedSyncedIndex) {
            save(hardState);
        }
    }

    /**
     * Removes all entries from an index on and syncs the files.
     *
     * @param index the first entry to remove
     * @throws StorageException if they cannot be removed
     */
    public void truncateFrom(long index) throws StorageException {
        runFileOperation("truncate the log", () -> {
            List<Segment> later = new ArrayList<>();
            while (segments.size() > 1 && segments.getLast().firstIndex() > index) {
                later.add(segments.removeLast());
            }
            syncedIndex = Math.min(syncedIndex, index - 1);
            if (!later.isEmpty() || savedSyncedIndex > syncedIndex) {
                saveState(hardState, segments.getLast().firstIndex());
            }
            segments.getLast().truncateFrom(index);
            for (Segment segment : later) {
                delete(segment);
            }
            nextIsFirstAfterSync = true;
        });
    }

    /**
     * Removes segments whose entries are all covered by a snapshot.
     *
     * @param index the index up to which entries are no longer needed
     * @throws StorageException if they cannot be removed
     */
    public void compact(long index) throws StorageException {
        runFileOperation("remove old log files", () -> {
            while (segments.size() > 1 && segments.getFirst().nextIndex() <= index + 1) {
                delete(segments.removeFirst());
            }
        });
    }

    /**
     * Removes all entries, so that the log starts after a snapshot.
     *
     * @param head the head of the snapshot
     * @throws StorageException if the files cannot be replaced
     */
    public void reset(SnapshotHead head) throws StorageException {
        runFileOperation("replace the log", () -> {
            List<Segment> old = new ArrayList<>(segments);
            Segment next = Segment.create(folder, head.index() + 1);
            segments.clear();
            segments.add(next);
            syncedIndex = head.index();
            saveState(hardState, next.firstIndex());
            for (Segment segment : old) {
                segment.close();
                if (!segment.file().equals(next.file())) {
                    Files.deleteIfExists(segment.file());
                }
            }
            unsynced = false;
            nextIsFirstAfterSync = true;
        });
    }

    @Override
    public void close() {
        for (Segment segment : segments) {
            try {
                segment.close();
            } catch (IOException e) {
                LOG.debugf(e, "raft: Cannot close %s", segment.file());
            }
        }
    }

    private interface Operation {
        void run() throws IOException, StorageException;
    }

    private void runFileOperation(String action, Operation operation) throws StorageException {
        try {
            operation.run();
        } catch (IOException e) {
            throw DurableFiles.toStorageException(action, e);
        }
    }

    private static TreeMap<Long, Path> segmentFiles(Path folder) throws IOException {
        TreeMap<Long, Path> files = new TreeMap<>();
        try (Stream<Path> list = Files.list(folder)) {
            list.filter(f -> Segment.firstIndexOf(f) >= 0).forEach(f -> files.put(Segment.firstIndexOf(f), f));
        }
        return files;
    }

    private static StoredState decode(byte[] bytes) throws StorageException {
        try {
            return Codec.unpack(bytes, StoredState.class);
        } catch (WireException e) {
            throw new StorageException(StorageException.Kind.CORRUPT, "the hard state is corrupt", e);
        }
    }

    private static StorageException corrupt(String text) {
        return new StorageException(
                StorageException.Kind.CORRUPT,
                text + "; empty the data folder to let the replica join again as a learner",
                null);
    }

    private void saveState(HardState next, long lastSegment) throws IOException, StorageException {
        try {
            DurableFiles.replace(
                    folder.resolve(STATE_FILE),
                    Codec.pack(new StoredState(next.term(), next.vote(), lastSegment, syncedIndex)));
        } catch (WireException e) {
            throw new StorageException(StorageException.Kind.FAILED, "cannot encode the hard state", e);
        }
        hardState = next;
        savedSyncedIndex = syncedIndex;
    }

    /** Syncs the full last segment and starts a new one. */
    private void roll() throws IOException, StorageException {
        Segment full = segments.getLast();
        full.sync();
        syncedIndex = full.nextIndex() - 1;
        segments.add(Segment.create(folder, full.nextIndex()));
        saveState(hardState, segments.getLast().firstIndex());
        unsynced = false;
        nextIsFirstAfterSync = true;
    }

    private void recover(SnapshotHead head) throws IOException, StorageException {
        byte[] bytes = DurableFiles.read(folder.resolve(STATE_FILE));
        if (bytes == null) {
            throw corrupt("the hard state is missing");
        }
        StoredState stored = decode(bytes);
        hardState = new HardState(stored.term(), stored.vote());
        TreeMap<Long, Path> files = segmentFiles(folder);
        // Files after the last segment remain from a segment roll or a truncation that did not complete.
        for (Path unfinished : files.tailMap(stored.lastSegment(), false).values()) {
            Files.delete(unfinished);
        }
        files.tailMap(stored.lastSegment(), false).clear();
        if (files.isEmpty() || files.lastKey() != stored.lastSegment()) {
            throw corrupt("the log file that starts at entry " + stored.lastSegment() + " is missing");
        }
        Long start = files.floorKey(head.index() + 1);
        if (start == null) {
            throw corrupt("the log starts at entry " + files.firstKey() + " but the snapshot ends at " + head.index());
        }
        List<LogEntry> entries = new ArrayList<>();
        for (Map.Entry<Long, Path> file : files.tailMap(start, true).entrySet()) {
            if (!segments.isEmpty() && segments.getLast().nextIndex() != file.getKey()) {
                throw corrupt("the log file with entry " + segments.getLast().nextIndex() + " is missing or truncated");
            }
            segments.add(Segment.open(file.getValue(), file.getKey() == stored.lastSegment(), entries));
        }
        for (Path old : files.headMap(start, false).values()) {
            Files.delete(old);
        }
        long last = segments.getLast().nextIndex() - 1;
        if (last < stored.syncedIndex() && head.index() < stored.syncedIndex()) {
            throw corrupt("the log ends at entry " + last + " but entry " + stored.syncedIndex() + " had been synced");
        }
        // A killed process may have left records that were written but not synced. Sync them now, because consensus
        // treats all recovered entries as durable.
        segments.getLast().sync();
        syncedIndex = last;
        savedSyncedIndex = stored.syncedIndex();
        unconfirmedIndex = stored.syncedIndex() + 1;
        reconcile(head, entries);
    }

    /**
     * Keeps the entries after the snapshot if the log is consistent with the snapshot. Otherwise, the installation of
     * the snapshot was interrupted before the log was reset, so the log is reset now.
     */
    private void reconcile(SnapshotHead head, List<LogEntry> entries) throws StorageException {
        long last = segments.getLast().nextIndex() - 1;
        boolean isConsistent = last >= head.index()
                && entries.stream().filter(e -> e.index() == head.index()).allMatch(e -> e.term() == head.term());
        if (isConsistent) {
            recovered = entries.stream().filter(e -> e.index() > head.index()).toList();
        } else {
            LOG.infof("raft: The log is inconsistent with the snapshot at entry %d; resetting the log", head.index());
            reset(head);
        }
    }

    private static void delete(Segment segment) throws IOException {
        segment.close();
        Files.deleteIfExists(segment.file());
    }
}
