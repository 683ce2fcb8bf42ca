package org.cicadahead.storage;

import java.io.Closeable;
import java.io.EOFException;
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
 * A log file: a header (magic number, index of the first entry, CRC32C) followed by records.
 *
 * <p>A record consists of a 4-byte length, a 4-byte CRC32C, a 1-byte flag and the entry in MessagePack. The flag marks
 * the first record after a sync. If a valid record with this flag follows a damaged record, the damaged one had been
 * synced and the file is corrupt. Otherwise the damage is treated as the torn tail of a write that was never
 * acknowledged.
 */
final class Segment implements Closeable {
    static final int HEADER_BYTES = 20;

    private static final Pattern NAME = Pattern.compile("log-(\\d{20})\\.seg");
    private static final long MAGIC = 0x63696361_6c6f6731L;
    private static final int RECORD_HEADER_BYTES = 8;
    /** Larger than the largest message between processes, so that any entry fits. */
    private static final int MAX_RECORD_BYTES = 32 * 1024 * 1024;

    private static final byte FIRST_AFTER_SYNC = 1;

    private final Path file;
    private final long firstIndex;
    private final FileChannel channel;
    private final List<Long> offsets = new ArrayList<>();
    private long end = HEADER_BYTES;

    private Segment(Path file, long firstIndex, FileChannel channel) {
        this.file = file;
        this.firstIndex = firstIndex;
        this.channel = channel;
    }

    static Path path(Path folder, long firstIndex) {
        return folder.resolve(String.format("log-%020d.seg", firstIndex));
    }

    /** Returns the index of the first entry of a segment file, or -1 if the file is not a segment. */
    static long firstIndexOf(Path file) {
        Matcher matcher = NAME.matcher(file.getFileName().toString());
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /** Creates an empty segment, and syncs the file and its folder. */
    static Segment create(Path folder, long firstIndex) throws IOException {
        Path file = path(folder, firstIndex);
        FileChannel channel = FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        DurableFiles.writeFully(channel, header(firstIndex));
        channel.force(true);
        DurableFiles.syncFolder(folder);
        return new Segment(file, firstIndex, channel);
    }

    /**
     * Opens a segment and reads its entries.
     *
     * @param last whether this is the last segment; only the last one may have a torn tail, which is truncated
     * @param recovered the list to which the entries are added
     */
    static Segment open(Path file, boolean last, List<LogEntry> recovered) throws IOException, StorageException {
        long firstIndex = firstIndexOf(file);
        byte[] bytes = Files.readAllBytes(file);
        if (bytes.length < HEADER_BYTES
                || !ByteBuffer.wrap(bytes, 0, HEADER_BYTES).equals(header(firstIndex))) {
            throw new StorageException(
                    StorageException.Kind.CORRUPT, "the header of " + file.getFileName() + " is corrupt", null);
        }
        FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        Segment segment = new Segment(file, firstIndex, channel);
        try {
            segment.scan(bytes, last, recovered);
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
        record.putInt(Integer.BYTES, DurableFiles.checksum(record.array(), RECORD_HEADER_BYTES, content.length + 1));
        return record.array();
    }

    long firstIndex() {
        return firstIndex;
    }

    long nextIndex() {
        return firstIndex + offsets.size();
    }

    long size() {
        return end;
    }

    Path file() {
        return file;
    }

    /** Appends records. If the write fails, attempts to truncate the file to its previous length. */
    void write(List<byte[]> records) throws IOException {
        int total = records.stream().mapToInt(r -> r.length).sum();
        ByteBuffer buffer = ByteBuffer.allocate(total);
        records.forEach(buffer::put);
        buffer.flip();
        try {
            channel.position(end);
            DurableFiles.writeFully(channel, buffer);
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

    /** Writes the records from an index on again, so that the next sync covers them. */
    void rewriteFrom(long index) throws IOException {
        int position = (int) Math.max(0, index - firstIndex);
        if (position >= offsets.size()) {
            return;
        }
        long start = offsets.get(position);
        ByteBuffer records = ByteBuffer.allocate((int) (end - start));
        while (records.hasRemaining()) {
            if (channel.read(records, start + records.position()) < 0) {
                throw new EOFException("the log file " + file.getFileName() + " became shorter");
            }
        }
        channel.position(start);
        DurableFiles.writeFully(channel, records.flip());
    }

    void sync() throws IOException {
        channel.force(false);
    }

    /** Removes all entries from an index on and syncs the file. */
    void truncateFrom(long index) throws IOException {
        int position = (int) (index - firstIndex);
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

    private static ByteBuffer header(long firstIndex) {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(MAGIC).putLong(firstIndex);
        header.putInt(DurableFiles.checksum(header.array(), 0, HEADER_BYTES - Integer.BYTES));
        return header.flip();
    }

    private void scan(byte[] bytes, boolean last, List<LogEntry> recovered) throws IOException, StorageException {
        int position = HEADER_BYTES;
        while (position < bytes.length) {
            LogEntry entry = decode(bytes, position);
            if (entry == null || entry.index() != nextIndex()) {
                truncateTornTail(bytes, position, last);
                return;
            }
            offsets.add((long) position);
            recovered.add(entry);
            position += recordBytes(bytes, position);
            end = position;
        }
    }

    /**
     * Truncates the file before a damaged record, or rejects the file if the record had been synced. All records of a
     * segment that is not the last one had been synced.
     */
    private void truncateTornTail(byte[] bytes, int damaged, boolean last) throws IOException, StorageException {
        boolean wasSynced = !last;
        for (int i = damaged + 1; i < bytes.length && !wasSynced; i++) {
            LogEntry later = decode(bytes, i);
            wasSynced =
                    later != null && later.index() > nextIndex() && bytes[i + RECORD_HEADER_BYTES] == FIRST_AFTER_SYNC;
        }
        if (wasSynced) {
            throw new StorageException(
                    StorageException.Kind.CORRUPT,
                    "the log file " + file.getFileName() + " is corrupt at byte " + damaged + " (entry " + nextIndex()
                            + "); empty the data folder to let the replica join again as a learner",
                    null);
        }
        channel.truncate(damaged);
        channel.force(true);
    }

    private static int recordBytes(byte[] bytes, int position) {
        return RECORD_HEADER_BYTES + ByteBuffer.wrap(bytes).getInt(position);
    }

    /** Returns the entry of the record at a position, or null if the record is invalid. */
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
                || buffer.getInt(position + Integer.BYTES) != DurableFiles.checksum(bytes, start, length)) {
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
