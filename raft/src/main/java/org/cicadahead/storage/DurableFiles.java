package org.cicadahead.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.zip.CRC32C;

/** File operations whose effect is durable when they return. */
final class DurableFiles {
    /** Size of the header of a small file: the length and the CRC32C of its content. */
    private static final int HEADER_BYTES = 8;
    /** Parts of the texts of the errors ENOSPC, EDQUOT and EFBIG. */
    private static final List<String> FULL_DISK_TEXTS = List.of("No space left", "quota exceeded", "File too large");

    private DurableFiles() {}

    /**
     * Converts an I/O error. A full disk is recognized by the error text of the operating system, because Java has no
     * exception type for it.
     */
    static StorageException toStorageException(String action, IOException cause) {
        String text = cause.toString();
        boolean full = FULL_DISK_TEXTS.stream().anyMatch(text::contains);
        return new StorageException(
                full ? StorageException.Kind.FULL : StorageException.Kind.FAILED,
                "cannot " + action + ": " + text,
                cause);
    }

    static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    static void move(Path from, Path to) throws IOException {
        try {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            throw new IOException("the file system cannot replace a file atomically", e);
        }
        syncFolder(to.toAbsolutePath().getParent());
    }

    /** Atomically replaces a small file; the content is stored with a checksum. */
    static void replace(Path file, byte[] content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + content.length);
        bytes.putInt(content.length)
                .putInt(checksum(content, 0, content.length))
                .put(content)
                .flip();
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            writeFully(channel, bytes);
            channel.force(true);
        }
        move(temporary, file);
    }

    /** Returns the content of a file that {@link #replace} wrote, or null if the file does not exist. */
    static byte[] read(Path file) throws IOException, StorageException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
        if (bytes.length >= HEADER_BYTES) {
            ByteBuffer header = ByteBuffer.wrap(bytes);
            int length = header.getInt();
            int crc = header.getInt();
            if (length == bytes.length - HEADER_BYTES && crc == checksum(bytes, HEADER_BYTES, length)) {
                byte[] content = new byte[length];
                header.get(content);
                return content;
            }
        }
        throw new StorageException(
                StorageException.Kind.CORRUPT, "the file " + file.getFileName() + " is corrupt", null);
    }
}
