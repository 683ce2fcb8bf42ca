package org.cicadahead.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.raft.SnapshotHead;
import org.jboss.logging.Logger;

/**
 * The data folder of a replica, locked against use by a second process. Use {@link #open(Path, long)} to open it.
 *
 * <p>The replica id is written after all other files of a new replica, so that a folder with an id is complete and a
 * missing file is detected. A folder that has data but no id is rejected, because its replica may already have voted.
 */
public final class ReplicaFolder implements Closeable {
    static final String ID_FILE = "replica-id";

    private static final Logger LOG = Logger.getLogger("cicadahead.raft");
    private static final int ID_BYTES = 16;

    private final FileChannel lock;
    private final Path idFile;
    /** Identifies the id file on its file system, to detect that the file was deleted or replaced. */
    private final Object idFileKey;

    private final ReplicaId id;
    private final LogStore log;
    private final SnapshotStore snapshots;

    private ReplicaFolder(FileChannel lock, Path idFile, ReplicaId id, LogStore log, SnapshotStore snapshots)
            throws IOException {
        this.lock = lock;
        this.idFile = idFile;
        this.idFileKey = fileKey(idFile);
        this.id = id;
        this.log = log;
        this.snapshots = snapshots;
    }

    /**
     * Opens a data folder. If the folder is empty, creates the files of a new replica.
     *
     * @param folder the data folder; created if it does not exist
     * @param segmentBytes the size at which a new log file is started, in bytes
     * @return the opened folder
     * @throws StorageException if the files are corrupt, in use by another process or unreadable
     */
    public static ReplicaFolder open(Path folder, long segmentBytes) throws StorageException {
        try {
            Files.createDirectories(folder);
            FileChannel lock =
                    FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                lock(lock);
                removeTemporaryFiles(folder);
                return open(folder, segmentBytes, lock);
            } catch (IOException | StorageException | RuntimeException e) {
                lock.close();
                throw e;
            }
        } catch (IOException e) {
            throw DurableFiles.toStorageException("open the data folder", e);
        }
    }

    /**
     * Returns the replica id.
     *
     * @return the id
     */
    public ReplicaId id() {
        return id;
    }

    /**
     * Returns the log store.
     *
     * @return the log
     */
    public LogStore log() {
        return log;
    }

    /**
     * Returns the snapshot store.
     *
     * @return the snapshot store
     */
    public SnapshotStore snapshots() {
        return snapshots;
    }

    /**
     * Verifies that the folder still holds the id file of the replica. This check is needed because files that are open
     * stay usable after they are deleted.
     *
     * @throws StorageException if the folder was emptied or replaced
     */
    public void verifyIdentity() throws StorageException {
        try {
            if (Objects.equals(idFileKey, fileKey(idFile))) {
                return;
            }
        } catch (IOException e) {
            throw folderReplaced(e);
        }
        throw folderReplaced(null);
    }

    /** Closes the files. */
    @Override
    public void close() {
        log.close();
        try {
            lock.close();
        } catch (IOException e) {
            LOG.debugf(e, "raft: Cannot release the lock on the data folder");
        }
    }

    private static Object fileKey(Path file) throws IOException {
        return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    }

    private static StorageException folderReplaced(IOException cause) {
        return new StorageException(
                StorageException.Kind.CORRUPT,
                "the data folder was emptied or replaced while the replica was running",
                cause);
    }

    private static void lock(FileChannel channel) throws IOException, StorageException {
        try {
            if (channel.tryLock() != null) {
                return;
            }
        } catch (OverlappingFileLockException e) {
            throw new StorageException(StorageException.Kind.FAILED, "the data folder is in use", e);
        }
        throw new StorageException(StorageException.Kind.FAILED, "the data folder is in use", null);
    }

    private static void removeTemporaryFiles(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> list = Files.list(folder)) {
            files = list.filter(f -> f.getFileName().toString().endsWith(".tmp"))
                    .toList();
        }
        for (Path file : files) {
            Files.delete(file);
        }
    }

    private static ReplicaFolder open(Path folder, long segmentBytes, FileChannel lock)
            throws IOException, StorageException {
        SnapshotStore snapshots = SnapshotStore.open(folder);
        SnapshotHead head = snapshots.latest();
        byte[] stored = DurableFiles.read(folder.resolve(ID_FILE));
        if (stored != null) {
            ReplicaId id = ReplicaId.of(new String(stored, StandardCharsets.US_ASCII));
            return new ReplicaFolder(
                    lock, folder.resolve(ID_FILE), id, LogStore.recover(folder, segmentBytes, head), snapshots);
        }
        if (head.index() > 0 || LogStore.containsData(folder)) {
            throw new StorageException(
                    StorageException.Kind.CORRUPT,
                    "the replica id is missing but the data folder holds a log; empty the folder to let the replica"
                            + " join again as a learner",
                    null);
        }
        LogStore log = LogStore.create(folder, segmentBytes);
        byte[] random = new byte[ID_BYTES];
        new SecureRandom().nextBytes(random);
        ReplicaId id = ReplicaId.of(HexFormat.of().formatHex(random));
        DurableFiles.replace(folder.resolve(ID_FILE), id.value().getBytes(StandardCharsets.US_ASCII));
        LOG.infof("raft: The data folder is empty; created replica %s", id);
        return new ReplicaFolder(lock, folder.resolve(ID_FILE), id, log, snapshots);
    }
}
