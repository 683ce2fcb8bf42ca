package org.cicadahead.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadahead.raft.LogEntry;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;

/**
 * One file of the log: a header (magic, index of the first entry, CRC32C), then records.
 *
 * <p>A record is a 4-byte length, a 4-byte CRC32C, a 1-byte flag and the entry in MessagePack. The flag marks the first
 * record after a sync. A valid record with this flag behind a damaged one proves that the damaged one had been synced;
 * without such a proof the damage is the torn tail of a write that nobody was told of.
 */
final class Segment implements Closeable {
    static final int HEADER_BYTES = 20;

    private static final Pattern NAME = Pattern.compile("log-(\\d{20})\\.seg");
    private static final long MAGIC = 0x63696361_6c6f6731L;
    private static final int RECORD_HEADER_BYTES = 8;
    /** More than the largest message between processes, so that any entry fits. */
    private static final int MAX_RECORD_BYTES = 32 * 1024 * 1024;

    private static final byte FIRST_AFTER_SYNC = 1;

    private final Path file;
    private final long base;
    private final FileChannel channel;
    private final List<Long> offsets = new ArrayList<>();
    private long end = HEADER_BYTES;

    private Segment(Path file, long base, FileChannel channel) {
        this.file = file;
        this.base = base;
        this.channel = channel;
    }

    static Path path(Path folder, long base) {
        return folder.resolve(String.format("log-%020d.seg", base));
    }

    /** Returns the first index of a segment file, or -1 if the file is not one. */
    static long baseOf(Path file) {
        Matcher matcher = NAME.matcher(file.getFileName().toString());
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /** Creates an empty segment and syncs it and its folder. */
    static Segment create(Path folder, long base) throws IOException {
        Path file = path(folder, base);
        FileChannel channel = FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        Disk.writeFully(channel, header(base));
        channel.force(true);
        Disk.syncFolder(folder);
        return new Segment(file, base, channel);
    }

    /**
     * Reads a segment.
     *
     * @param last whether it is the last one, which alone may have a torn tail; the tail is cut off
     * @param into takes the entries
     */
    static Segment open(Path file, boolean last, List<LogEntry> into) throws IOException, StorageException {
        long base = baseOf(file);
        byte[] bytes = Files.readAllBytes(file);
        if (bytes.length < HEADER_BYTES
                || !ByteBuffer.wrap(bytes, 0, HEADER_BYTES).equals(header(base))) {
            throw new StorageException(
                    StorageException.Kind.CORRUPT, "the header of " + file.getFileName() + " is corrupt", null);
        }
        FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        Segment segment = new Segment(file, base, channel);
        try {
            segment.scan(bytes, last, into);
            return segment;
        } catch (IOException | StorageException e) {
            channel.close();
            throw e;
        }
    }

    static byte[] encode(LogEntry entry, boolean firstAfterSync) throws StorageException {
        byte[] content;
        try {
            content = Codec.pack(entry);
        } catch (WireException e) {
            throw new StorageException(StorageException.Kind.FAILED, "cannot encode entry " + entry.index(), e);
        }
        ByteBuffer record = ByteBuffer.allocate(RECORD_HEADER_BYTES + 1 + content.length);
        record.position(RECORD_HEADER_BYTES);
        record.put(firstAfterSync ? FIRST_AFTER_SYNC : 0).put(content);
        record.putInt(0, content.length + 1);
        record.putInt(Integer.BYTES, Disk.checksum(record.array(), RECORD_HEADER_BYTES, content.length + 1));
        return record.array();
    }

    long base() {
        return base;
    }

    long next() {
        return base + offsets.size();
    }

    long size() {
        return end;
    }

    Path file() {
        return file;
    }

    /** Writes records at the end. If that fails, nothing of them stays. */
    void write(List<byte[]> records) throws IOException {
        int total = records.stream().mapToInt(r -> r.length).sum();
        ByteBuffer buffer = ByteBuffer.allocate(total);
        records.forEach(buffer::put);
        buffer.flip();
        try {
            channel.position(end);
            Disk.writeFully(channel, buffer);
        } catch (IOException e) {
            try {
                channel.truncate(end);
            } catch (IOException suppressed) {
                e.addSuppressed(suppressed);
            }
            throw e;
        }
        for (byte[] record : records) {
            offsets.add(end);
            end += record.length;
        }
    }

    void sync() throws IOException {
        channel.force(false);
    }

    /** Removes the entries from an index on, and syncs. */
    void truncateFrom(long index) throws IOException {
        int position = (int) (index - base);
        if (position < offsets.size()) {
            end = offsets.get(position);
            channel.truncate(end);
            channel.force(true);
            offsets.subList(position, offsets.size()).clear();
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    private static ByteBuffer header(long base) {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(MAGIC).putLong(base);
        header.putInt(Disk.checksum(header.array(), 0, HEADER_BYTES - Integer.BYTES));
        return header.flip();
    }

    private void scan(byte[] bytes, boolean last, List<LogEntry> into) throws IOException, StorageException {
        int position = HEADER_BYTES;
        while (position < bytes.length) {
            LogEntry entry = decode(bytes, position);
            if (entry == null || entry.index() != next()) {
                cutTail(bytes, position, last);
                return;
            }
            offsets.add((long) position);
            into.add(entry);
            position += recordBytes(bytes, position);
            end = position;
        }
    }

    private void cutTail(byte[] bytes, int damaged, boolean last) throws IOException, StorageException {
        boolean proof = !last;
        for (int i = damaged + 1; i < bytes.length && !proof; i++) {
            LogEntry later = decode(bytes, i);
            proof = later != null && later.index() > next() && bytes[i + RECORD_HEADER_BYTES] == FIRST_AFTER_SYNC;
        }
        if (proof) {
            throw new StorageException(
                    StorageException.Kind.CORRUPT,
                    "the log file " + file.getFileName() + " is corrupt at byte " + damaged + " (entry " + next()
                            + "); empty the data folder to let the replica join again as a learner",
                    null);
        }
        channel.truncate(damaged);
        channel.force(true);
    }

    private static int recordBytes(byte[] bytes, int position) {
        return RECORD_HEADER_BYTES + ByteBuffer.wrap(bytes).getInt(position);
    }

    /** Returns the entry of a valid record, or null. */
    private static LogEntry decode(byte[] bytes, int position) {
        if (bytes.length - position < RECORD_HEADER_BYTES + 1) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int length = buffer.getInt(position);
        int start = position + RECORD_HEADER_BYTES;
        if (length < 1
                || length > MAX_RECORD_BYTES
                || length > bytes.length - start
                || buffer.getInt(position + Integer.BYTES) != Disk.checksum(bytes, start, length)) {
            return null;
        }
        byte[] content = new byte[length - 1];
        buffer.get(start + 1, content);
        try {
            return Codec.unpack(content, LogEntry.class);
        } catch (WireException e) {
            return null;
        }
    }
}
