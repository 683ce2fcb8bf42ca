package org.cicadahead.storage;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import java.util.zip.CheckedInputStream;
import java.util.zip.CheckedOutputStream;
import org.cicadahead.raft.RaftSnapshot;
import org.cicadahead.raft.SnapshotHead;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;

/**
 * Stores the snapshots of a replica in files. Thread-safe.
 *
 * <p>A snapshot file consists of the length of the head, the head in MessagePack, the state, and a CRC32C of everything
 * before it. Chunks for other replicas are ranges of this file, so that the receiver verifies the same checksum.
 */
public final class SnapshotStore {
    private static final Pattern NAME = Pattern.compile("snapshot-(\\d{20})\\.snap");
    private static final int CRC_BYTES = 4;
    private static final int MAX_HEAD_BYTES = 1024 * 1024;
    private static final String INCOMING_FILE = "incoming.tmp";

    private final Path folder;
    private SnapshotHead latest = SnapshotHead.NONE;
    private SnapshotHead incoming;
    private long receivedBytes;

    /** Writes the state of a snapshot. */
    public interface StateWriter {
        /**
         * Writes the state.
         *
         * @param out the stream to write to; must not be closed
         * @throws IOException if the state cannot be written
         */
        void write(OutputStream out) throws IOException;
    }

    /** Reads the state of a snapshot. */
    public interface StateReader {
        /**
         * Reads the state.
         *
         * @param in the stream to read from; must not be closed
         * @throws IOException if the state cannot be read
         */
        void read(InputStream in) throws IOException;
    }

    private SnapshotStore(Path folder) {
        this.folder = folder;
    }

    /** Finds and verifies the latest snapshot, and removes older ones. */
    static SnapshotStore open(Path folder) throws StorageException {
        SnapshotStore store = new SnapshotStore(folder);
        try {
            TreeMap<Long, Path> files = store.files();
            if (!files.isEmpty()) {
                store.latest = verify(files.lastEntry().getValue());
                store.removeOlderSnapshots();
            }
        } catch (IOException e) {
            throw DurableFiles.toStorageException("read the snapshots", e);
        }
        return store;
    }

    /**
     * Returns the head of the latest snapshot.
     *
     * @return the head, or {@link SnapshotHead#NONE} if there is no snapshot
     */
    public synchronized SnapshotHead latest() {
        return latest;
    }

    /**
     * Writes and syncs a snapshot, and removes older ones. A snapshot that is older than the latest one is ignored.
     *
     * @param head the head of the snapshot
     * @param content writes the state
     * @throws StorageException if the snapshot cannot be written; the previous one is kept
     */
    public void write(SnapshotHead head, StateWriter content) throws StorageException {
        Path temporary = folder.resolve("snapshot.tmp");
        try {
            try (FileChannel channel = FileChannel.open(
                    temporary,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE)) {
                CheckedOutputStream checked = new CheckedOutputStream(
                        new BufferedOutputStream(Channels.newOutputStream(channel)), new CRC32C());
                DataOutputStream out = new DataOutputStream(checked);
                byte[] packed = Codec.pack(head);
                out.writeInt(packed.length);
                out.write(packed);
                content.write(out);
                out.flush();
                out.writeInt((int) checked.getChecksum().getValue());
                out.flush();
                channel.force(true);
            }
            publish(temporary, head);
        } catch (IOException e) {
            discard(temporary, e);
            throw DurableFiles.toStorageException("write a snapshot", e);
        } catch (WireException e) {
            throw new StorageException(StorageException.Kind.FAILED, "cannot encode the head of a snapshot", e);
        }
    }

    /**
     * Reads the state of the latest snapshot.
     *
     * @param reader reads the state
     * @return the head of the snapshot
     * @throws StorageException if it cannot be read
     */
    public SnapshotHead read(StateReader reader) throws StorageException {
        SnapshotHead head;
        Path file;
        InputStream opened;
        long size;
        try {
            synchronized (this) {
                head = latest;
                file = path(head.index());
                size = Files.size(file);
                opened = Files.newInputStream(file);
            }
            try (InputStream in = new BufferedInputStream(opened)) {
                DataInputStream data = new DataInputStream(in);
                int headBytes = data.readInt();
                data.skipNBytes(headBytes);
                reader.read(new LimitedInputStream(data, size - CRC_BYTES - headBytes - Integer.BYTES));
            }
            return head;
        } catch (IOException e) {
            throw DurableFiles.toStorageException("read the snapshot", e);
        }
    }

    /**
     * A chunk of a snapshot file.
     *
     * @param data the bytes of the chunk
     * @param last whether this is the last chunk
     */
    public record Chunk(byte[] data, boolean last) {}

    /**
     * Reads a chunk of the latest snapshot.
     *
     * @param head the head of the snapshot to read
     * @param offset the offset in the file, in bytes
     * @param maxBytes the maximum number of bytes to read
     * @return the chunk, or null if the snapshot has been replaced by a later one
     * @throws StorageException if it cannot be read
     */
    public Chunk readChunk(SnapshotHead head, long offset, int maxBytes) throws StorageException {
        if (latest().index() != head.index()) {
            return null;
        }
        try (FileChannel channel = FileChannel.open(path(head.index()), StandardOpenOption.READ)) {
            long size = channel.size();
            int length = (int) Math.max(0, Math.min(maxBytes, size - offset));
            ByteBuffer buffer = ByteBuffer.allocate(length);
            long position = offset;
            while (buffer.hasRemaining()) {
                int read = channel.read(buffer, position);
                if (read < 0) {
                    throw new IOException("the file was truncated while it was being read");
                }
                position += read;
            }
            return new Chunk(buffer.array(), offset + length >= size);
        } catch (IOException e) {
            throw DurableFiles.toStorageException("read a snapshot", e);
        }
    }

    /**
     * Stores a chunk that the leader sent. Chunks that arrive out of order are ignored. If the complete file is
     * damaged, the transfer starts again at offset 0.
     *
     * @param chunk the chunk
     * @return the offset of the next expected chunk, in bytes, or -1 if the snapshot is complete and synced
     * @throws StorageException if the chunk cannot be written
     */
    public synchronized long receive(RaftSnapshot chunk) throws StorageException {
        Path file = folder.resolve(INCOMING_FILE);
        if (!chunk.head().equals(incoming)) {
            incoming = chunk.head();
            receivedBytes = 0;
        }
        if (chunk.offset() != receivedBytes) {
            return receivedBytes;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            channel.truncate(receivedBytes);
            channel.position(receivedBytes);
            DurableFiles.writeFully(channel, ByteBuffer.wrap(chunk.data()));
            receivedBytes += chunk.data().length;
            if (!chunk.last()) {
                return receivedBytes;
            }
            channel.force(true);
        } catch (IOException e) {
            throw DurableFiles.toStorageException("store a chunk of a snapshot", e);
        }
        incoming = null;
        receivedBytes = 0;
        try {
            if (!verify(file).equals(chunk.head())) {
                return 0;
            }
            publish(file, chunk.head());
            return -1;
        } catch (StorageException e) {
            // The received file is damaged. The transfer starts again; the previous snapshot is still in place.
            return 0;
        } catch (IOException e) {
            throw DurableFiles.toStorageException("store a snapshot", e);
        }
    }

    /** Verifies the checksum of a snapshot file and returns the head of the snapshot. */
    private static SnapshotHead verify(Path file) throws IOException, StorageException {
        StorageException corrupt = new StorageException(
                StorageException.Kind.CORRUPT,
                "the snapshot " + file.getFileName()
                        + " is corrupt; empty the data folder to let the replica join again as a learner",
                null);
        long size = Files.size(file);
        if (size < Integer.BYTES + CRC_BYTES) {
            throw corrupt;
        }
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
            CheckedInputStream checked =
                    new CheckedInputStream(new LimitedInputStream(in, size - CRC_BYTES), new CRC32C());
            DataInputStream data = new DataInputStream(checked);
            int length = data.readInt();
            if (length < 0 || length > MAX_HEAD_BYTES || length > size) {
                throw corrupt;
            }
            byte[] packed = data.readNBytes(length);
            data.transferTo(OutputStream.nullOutputStream());
            int stored = new DataInputStream(in).readInt();
            if (stored != (int) checked.getChecksum().getValue()) {
                throw corrupt;
            }
            return Codec.unpack(packed, SnapshotHead.class);
        } catch (WireException e) {
            corrupt.initCause(e);
            throw corrupt;
        }
    }

    private Path path(long index) {
        return folder.resolve(String.format("snapshot-%020d.snap", index));
    }

    private TreeMap<Long, Path> files() throws IOException {
        TreeMap<Long, Path> files = new TreeMap<>();
        try (Stream<Path> list = Files.list(folder)) {
            list.forEach(file -> {
                Matcher matcher = NAME.matcher(file.getFileName().toString());
                if (matcher.matches()) {
                    files.put(Long.parseLong(matcher.group(1)), file);
                }
            });
        }
        return files;
    }

    /** Makes a complete file the latest snapshot, or deletes the file if the latest snapshot is not older. */
    private synchronized void publish(Path temporary, SnapshotHead head) throws IOException {
        if (head.index() <= latest.index()) {
            Files.delete(temporary);
            return;
        }
        DurableFiles.move(temporary, path(head.index()));
        latest = head;
        removeOlderSnapshots();
    }

    private void removeOlderSnapshots() throws IOException {
        for (Path old : files().headMap(latest.index(), false).values()) {
            Files.delete(old);
        }
    }

    private static void discard(Path file, IOException cause) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }
}
