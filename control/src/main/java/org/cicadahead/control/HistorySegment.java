package org.cicadahead.control;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashSet;
import java.util.Set;
import java.util.zip.CRC32C;
import org.cicadahead.model.ProgramKey;

/**
 * A file that stores steps of programs. Its counters are guarded by the lock of the {@link HistoryStore}; reads need no
 * lock while the segment is pinned.
 */
final class HistorySegment {
    private static final int HEADER_BYTES = 8;

    final Set<ProgramKey> programs = new HashSet<>();

    private final Path file;
    private final FileChannel channel;
    private long size;
    private long liveBytes;
    private int pins;
    private boolean sealed;

    private HistorySegment(Path file, FileChannel channel) {
        this.file = file;
        this.channel = channel;
    }

    static HistorySegment create(Path file) throws IOException {
        return new HistorySegment(
                file,
                FileChannel.open(
                        file, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    HistoryLocation append(byte[] record) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + record.length);
        buffer.putInt(record.length).putInt(checksum(record)).put(record).flip();
        long offset = size;
        while (buffer.hasRemaining()) {
            channel.write(buffer, offset + buffer.position());
        }
        size += buffer.limit();
        liveBytes += buffer.limit();
        return new HistoryLocation(this, offset, buffer.limit());
    }

    byte[] read(long offset, int length) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(length);
        while (buffer.hasRemaining()) {
            if (channel.read(buffer, offset + buffer.position()) < 0) {
                throw new EOFException(
                        "history record at offset " + offset + " of " + file.getFileName() + " is truncated");
            }
        }
        buffer.flip();
        byte[] record = new byte[length - HEADER_BYTES];
        int recordLength = buffer.getInt();
        int expected = buffer.getInt();
        buffer.get(record);
        if (recordLength != record.length || checksum(record) != expected) {
            throw new IOException("history record at offset " + offset + " of " + file.getFileName() + " is corrupt");
        }
        return record;
    }

    long size() {
        return size;
    }

    boolean needsCompaction() {
        return sealed && liveBytes > 0 && liveBytes < size / 4;
    }

    boolean isObsolete() {
        return sealed && liveBytes == 0;
    }

    void seal() throws IOException {
        sealed = true;
        deleteIfUnused();
    }

    void release(long bytes) throws IOException {
        liveBytes -= bytes;
        deleteIfUnused();
    }

    void pin() {
        pins++;
    }

    void unpin() throws IOException {
        pins--;
        deleteIfUnused();
    }

    void close() throws IOException {
        channel.close();
    }

    private static int checksum(byte[] record) {
        CRC32C checksum = new CRC32C();
        checksum.update(record);
        return (int) checksum.getValue();
    }

    private void deleteIfUnused() throws IOException {
        if (sealed && liveBytes == 0 && pins == 0) {
            channel.close();
            Files.deleteIfExists(file);
        }
    }
}
