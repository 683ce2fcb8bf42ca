package org.cicadahead.storage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.cicadahead.raft.EntryKind;
import org.cicadahead.raft.HardState;
import org.cicadahead.raft.LogEntry;
import org.cicadahead.raft.Member;
import org.cicadahead.raft.Membership;
import org.cicadahead.raft.RaftSnapshot;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.raft.SnapshotHead;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against damaged files that are accepted as valid data, and against the loss of synced entries. */
class LogStoreTest {
    private static final long LARGE_SEGMENT_BYTES = 1 << 20;
    private static final ReplicaId OTHER = ReplicaId.of("f".repeat(32));
    private static final Membership MEMBERS = Membership.NONE.with(new Member(OTHER, "127.0.0.1:1", true));

    @TempDir
    Path root;

    @Test
    void entriesAndHardStateSurviveRestarts() throws Exception {
        Path folder = root.resolve("a");
        ReplicaId id;
        try (ReplicaFolder files = ReplicaFolder.open(folder, 300)) {
            id = files.id();
            write(files, entries(1, 20, 1));
            files.log().truncateFrom(8);
            write(files, entries(8, 12, 2));
            files.log().save(new HardState(2, OTHER));
        }
        try (ReplicaFolder files = ReplicaFolder.open(folder, 300)) {
            assertThat(files.id()).isEqualTo(id);
            assertThat(files.log().hardState()).isEqualTo(new HardState(2, OTHER));
            List<LogEntry> expected = new ArrayList<>(entries(1, 7, 1));
            expected.addAll(entries(8, 12, 2));
            assertThat(files.log().takeRecovered()).isEqualTo(expected);
        }
    }

    /**
     * Guards against a log that differs, after a restart, from a list to which the same random operations were applied.
     */
    @Test
    void matchesListInMemory() throws Exception {
        for (long seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            Path folder = root.resolve("n" + seed);
            List<LogEntry> expected = new ArrayList<>();
            long dropped = 0;
            ReplicaFolder files = ReplicaFolder.open(folder, 400);
            for (int i = 0; i < 60; i++) {
                long last = dropped + expected.size();
                switch (random.nextInt(6)) {
                    case 0 -> {
                        long from = dropped + 1 + random.nextInt(expected.size() + 1);
                        files.log().truncateFrom(from);
                        expected.subList((int) (from - dropped - 1), expected.size())
                                .clear();
                    }
                    case 1 -> {
                        files.close();
                        files = ReplicaFolder.open(folder, 400);
                        assertThat(files.log().takeRecovered()).isEqualTo(expected);
                    }
                    case 2 -> {
                        long index = dropped + random.nextInt(expected.size() + 1);
                        long term = index == dropped
                                ? 0
                                : expected.get((int) (index - dropped - 1)).term();
                        if (index > dropped) {
                            files.snapshots().write(new SnapshotHead(index, term, 0, MEMBERS), out -> out.write(1));
                            files.log().compact(index);
                            expected.subList(0, (int) (index - dropped)).clear();
                            dropped = index;
                        }
                    }
                    default -> {
                        List<LogEntry> more = entries(last + 1, last + 1 + random.nextInt(4), i + 1);
                        write(files, more);
                        expected.addAll(more);
                    }
                }
            }
            files.close();
        }
    }

    /** Guards against wrong entries when the file ends within a record, as after a crash during a write. */
    @Test
    void logTruncatedAtAnyByteIsPrefix() throws Exception {
        byte[] original = Files.readAllBytes(segment(folderWithTenEntries("cut")));
        for (int length = 0; length < original.length; length++) {
            Path folder = copy("cut", "cut" + length);
            Files.write(segment(folder), java.util.Arrays.copyOf(original, length));
            checkPrefixOrRejected(folder, "truncated at byte " + length);
        }
    }

    /** Guards against a changed entry that passes as valid, and against damage that is mistaken for a torn write. */
    @Test
    void flippedByteIsNeverAccepted() throws Exception {
        byte[] original = Files.readAllBytes(segment(folderWithTenEntries("flip")));
        int refused = 0;
        for (int i = 0; i < original.length; i++) {
            Path folder = copy("flip", "flip" + i);
            byte[] damaged = original.clone();
            damaged[i] ^= (byte) (1 << (i % 8));
            Files.write(segment(folder), damaged);
            int kept = checkPrefixOrRejected(folder, "bit flipped in byte " + i);
            refused += kept < 0 ? 1 : 0;
            // Each entry was synced separately, so only damage to the last one may be treated as a torn write.
            assertWithMessage("bit flipped in byte " + i).that(kept).isAnyOf(-1, 9);
        }
        assertThat(refused).isGreaterThan(original.length * 8 / 10);
    }

    /**
     * Guards against recovery that fails on zero bytes after the last record, as a file system may leave them when the
     * length of a file reaches the disk before its content.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 512, 5_000})
    void zeroTailIsTruncated(int zeros) throws Exception {
        Path folder = folderWithTenEntries("zero");
        byte[] original = Files.readAllBytes(segment(folder));
        Files.write(segment(folder), java.util.Arrays.copyOf(original, original.length + zeros));
        assertThat(checkPrefixOrRejected(folder, "zero tail")).isEqualTo(10);
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            write(files, entries(11, 11, 1));
        }
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            assertThat(files.log().takeRecovered()).isEqualTo(entries(1, 11, 1));
        }
    }

    /** Guards against the recovery, or the rejection as corrupt, of a batch that was torn before it was synced. */
    @Test
    void tornBatchIsDiscardedWhole() throws Exception {
        Path folder = folderWithTenEntries("torn");
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            files.log().append(entries(11, 13, 1));
        }
        byte[] bytes = Files.readAllBytes(segment(folder));
        // Simulates an unsynced write whose first page was lost while a later page reached the disk.
        int first = offsetOf(11);
        for (int i = first; i < first + 20; i++) {
            bytes[i] = 0;
        }
        Files.write(segment(folder), bytes);
        assertThat(checkPrefixOrRejected(folder, "torn batch")).isEqualTo(10);
    }

    /** Guards against a replica that votes twice in a term because its vote or its id was lost. */
    @ParameterizedTest
    @ValueSource(strings = {"hard-state", "replica-id"})
    void damagedOrMissingSmallFileIsRejected(String name) throws Exception {
        Path folder = folderWithTenEntries("small");
        byte[] original = Files.readAllBytes(folder.resolve(name));
        for (int i = 0; i < original.length; i++) {
            byte[] damaged = original.clone();
            damaged[i] ^= 1;
            Files.write(folder.resolve(name), damaged);
            assertRejected(folder);
            Files.write(folder.resolve(name), java.util.Arrays.copyOf(original, i));
            assertRejected(folder);
        }
        Files.delete(folder.resolve(name));
        assertRejected(folder);
    }

    /** Guards against a recovered log that lacks the entries of a deleted file. */
    @Test
    void missingSegmentIsRejected() throws Exception {
        Path folder = root.resolve("segments");
        try (ReplicaFolder files = ReplicaFolder.open(folder, 300)) {
            for (LogEntry entry : entries(1, 20, 1)) {
                write(files, List.of(entry));
            }
        }
        List<Path> segments = segments(folder);
        assertThat(segments.size()).isAtLeast(4);
        for (Path segment : segments) {
            Path damaged = copy("segments", "without-" + segment.getFileName());
            Files.delete(damaged.resolve(segment.getFileName()));
            assertRejected(damaged);
        }
    }

    /** Guards against a state machine that is restored from a damaged or truncated snapshot. */
    @Test
    void damagedSnapshotIsRejected() throws Exception {
        Path folder = folderWithTenEntries("snap");
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            files.snapshots().write(new SnapshotHead(5, 1, 0, MEMBERS), out -> out.write(new byte[100]));
        }
        Path file = folder.resolve(String.format("snapshot-%020d.snap", 5));
        byte[] original = Files.readAllBytes(file);
        for (int i = 0; i < original.length; i++) {
            byte[] damaged = original.clone();
            damaged[i] ^= 4;
            Files.write(file, damaged);
            assertRejected(folder);
            Files.write(file, java.util.Arrays.copyOf(original, i));
            assertRejected(folder);
        }
        Files.write(file, original);
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            assertThat(files.snapshots().latest()).isEqualTo(new SnapshotHead(5, 1, 0, MEMBERS));
            assertThat(files.log().takeRecovered()).isEqualTo(entries(6, 10, 1));
        }
    }

    /** Guards against conflicting entries that are kept when a crash interrupts the installation of a snapshot. */
    @Test
    void receivedSnapshotReplacesConflictingLog() throws Exception {
        SnapshotHead head = new SnapshotHead(8, 3, 0, MEMBERS);
        try (ReplicaFolder from = ReplicaFolder.open(root.resolve("from"), LARGE_SEGMENT_BYTES);
                ReplicaFolder to = ReplicaFolder.open(folderWithTenEntries("to"), LARGE_SEGMENT_BYTES)) {
            from.snapshots().write(head, out -> out.write(new byte[2_000]));
            assertThat(to.snapshots().receive(chunk(from, head, 500))).isEqualTo(0);
            long offset = 0;
            while (offset >= 0) {
                offset = to.snapshots().receive(chunk(from, head, offset));
            }
            // The replica is closed before the log is reset, as in a crash; recovery must complete the installation.
        }
        try (ReplicaFolder to = ReplicaFolder.open(root.resolve("to"), LARGE_SEGMENT_BYTES)) {
            assertThat(to.snapshots().latest()).isEqualTo(head);
            assertThat(to.log().takeRecovered()).isEmpty();
            write(to, entries(9, 9, 3));
        }
        try (ReplicaFolder to = ReplicaFolder.open(root.resolve("to"), LARGE_SEGMENT_BYTES)) {
            assertThat(to.log().takeRecovered()).isEqualTo(entries(9, 9, 3));
        }
    }

    /**
     * Guards against an unnoticed loss of synced entries. A log that is truncated at a record boundary has no damaged
     * record, so only the stored synced index shows that entries are missing.
     */
    @Test
    void lossOfSyncedEntriesIsRejected() throws Exception {
        Path folder = folderWithTenEntries("marked");
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            write(files, entries(11, 12, 1));
            files.log().saveSyncedIndex();
            write(files, entries(13, 13, 1));
        }
        byte[] original = Files.readAllBytes(segment(folder));
        for (int last = 0; last <= 13; last++) {
            Files.write(segment(folder), java.util.Arrays.copyOf(original, offsetOf(last + 1)));
            // The loss of entries that were synced after the synced index was last stored cannot be detected.
            assertThat(checkPrefixOrRejected(folder, "truncated after entry " + last))
                    .isEqualTo(last < 12 ? -1 : last);
        }
    }

    /**
     * Guards against a stored synced index that is not lowered when entries are truncated, which would make recovery
     * reject a valid log.
     */
    @Test
    void truncationLowersSyncedIndex() throws Exception {
        Path folder = folderWithTenEntries("lower");
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            files.log().truncateFrom(5);
        }
        assertThat(checkPrefixOrRejected(folder, "truncated")).isEqualTo(4);
    }

    /**
     * Guards against data that a failed sync left in memory only and that later syncs report as durable: what a replica
     * recovers without knowing that it was synced must be written again before it is synced.
     */
    @Test
    void recoveredTailAndHardStateAreWrittenAgain() throws Exception {
        Path folder = folderWithTenEntries("again");
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            write(files, entries(11, 11, 1));
        }
        Path state = folder.resolve("hard-state");
        for (Path file : List.of(segment(folder), state)) {
            Files.setLastModifiedTime(file, FileTime.fromMillis(0));
        }
        byte[] before = Files.readAllBytes(segment(folder));
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            files.log().confirmRecovered();
        }
        assertThat(Files.getLastModifiedTime(segment(folder)).toMillis()).isGreaterThan(0L);
        assertThat(Files.getLastModifiedTime(state).toMillis()).isGreaterThan(0L);
        assertThat(Files.readAllBytes(segment(folder))).isEqualTo(before);
        assertThat(checkPrefixOrRejected(folder, "written again")).isEqualTo(11);
    }

    /** Guards against a replica that votes although its storage takes no writes. */
    @Test
    void folderThatTakesNoWritesIsRejected() throws Exception {
        Path folder = folderWithTenEntries("full");
        Path blocker = Files.createDirectories(folder.resolve("hard-state.tmp").resolve("blocked"));
        assertThat(assertThrows(StorageException.class, () -> ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES))
                        .kind())
                .isEqualTo(StorageException.Kind.FAILED);
        Files.delete(blocker);
        Files.delete(blocker.getParent());
        assertThat(checkPrefixOrRejected(folder, "takes writes again")).isEqualTo(10);
    }

    /** Guards against a replica that keeps writing to open files after they were deleted or replaced. */
    @Test
    void emptiedFolderIsDetectedWhileOpen() throws Exception {
        Path folder = folderWithTenEntries("emptied");
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            files.verifyIdentity();
            Files.move(folder.resolve("replica-id"), root.resolve("moved"));
            assertThrows(StorageException.class, files::verifyIdentity);
            Files.copy(root.resolve("moved"), folder.resolve("replica-id"));
            assertThrows(StorageException.class, files::verifyIdentity);
        }
    }

    /** Guards against the installation of a snapshot that was damaged during its transfer. */
    @Test
    void damagedTransferStartsAgain() throws Exception {
        SnapshotHead head = new SnapshotHead(8, 3, 0, MEMBERS);
        try (ReplicaFolder from = ReplicaFolder.open(root.resolve("from"), LARGE_SEGMENT_BYTES);
                ReplicaFolder to = ReplicaFolder.open(root.resolve("to"), LARGE_SEGMENT_BYTES)) {
            from.snapshots().write(head, out -> out.write(new byte[100]));
            RaftSnapshot damaged = chunk(from, head, 0);
            damaged.data()[damaged.data().length / 2] ^= 1;
            assertThat(to.snapshots().receive(damaged)).isEqualTo(0);
            assertThat(to.snapshots().latest()).isEqualTo(SnapshotHead.NONE);
        }
    }

    /** Guards against two processes that write to the same data folder. */
    @Test
    void secondProcessIsRejected() throws Exception {
        try (ReplicaFolder files = ReplicaFolder.open(root.resolve("lock"), LARGE_SEGMENT_BYTES)) {
            assertThat(files.id()).isNotNull();
            assertThrows(StorageException.class, () -> ReplicaFolder.open(root.resolve("lock"), LARGE_SEGMENT_BYTES));
        }
    }

    private static List<LogEntry> entries(long from, long to, long term) {
        List<LogEntry> entries = new ArrayList<>();
        for (long i = from; i <= to; i++) {
            entries.add(new LogEntry(i, term, EntryKind.COMMAND, i, "c", new byte[] {(byte) i, 1, 2, 3}, null));
        }
        return entries;
    }

    private static void write(ReplicaFolder files, List<LogEntry> entries) throws StorageException {
        files.log().append(entries);
        files.log().sync();
    }

    private static RaftSnapshot chunk(ReplicaFolder from, SnapshotHead head, long offset) throws StorageException {
        SnapshotStore.Chunk chunk = from.snapshots().readChunk(head, offset, 700);
        return new RaftSnapshot(OTHER, OTHER, 3, head, offset, chunk.data(), chunk.last(), 0);
    }

    private static int offsetOf(long index) throws StorageException {
        int offset = Segment.HEADER_BYTES;
        for (LogEntry entry : entries(1, index - 1, 1)) {
            offset += Segment.encode(entry, true).length;
        }
        return offset;
    }

    /** Returns a folder with ten entries, each synced separately. */
    private Path folderWithTenEntries(String name) throws StorageException {
        Path folder = root.resolve(name);
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            for (LogEntry entry : entries(1, 10, 1)) {
                write(files, List.of(entry));
            }
            files.log().save(new HardState(1, OTHER));
        }
        return folder;
    }

    private Path copy(String from, String to) throws IOException {
        Path target = Files.createDirectories(root.resolve(to));
        try (Stream<Path> files = Files.list(root.resolve(from))) {
            for (Path file : files.toList()) {
                Files.copy(file, target.resolve(file.getFileName()));
            }
        }
        return target;
    }

    private static List<Path> segments(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> Segment.firstIndexOf(f) >= 0).sorted().toList();
        }
    }

    private static Path segment(Path folder) throws IOException {
        return segments(folder).get(0);
    }

    /**
     * Checks that the recovered entries are a prefix. Returns their number, or -1 if the folder was rejected as
     * corrupt.
     */
    private static int checkPrefixOrRejected(Path folder, String what) throws StorageException {
        try (ReplicaFolder files = ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES)) {
            List<LogEntry> found = files.log().takeRecovered();
            assertWithMessage(what).that(found).isEqualTo(entries(1, found.size(), 1));
            return found.size();
        } catch (StorageException e) {
            assertWithMessage(what).that(e.kind()).isEqualTo(StorageException.Kind.CORRUPT);
            return -1;
        }
    }

    private static void assertRejected(Path folder) {
        StorageException refusal = assertThrows(
                StorageException.class,
                () -> ReplicaFolder.open(folder, LARGE_SEGMENT_BYTES).close());
        assertThat(refusal.kind()).isEqualTo(StorageException.Kind.CORRUPT);
    }
}
