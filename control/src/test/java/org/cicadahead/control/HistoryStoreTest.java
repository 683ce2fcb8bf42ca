package org.cicadahead.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.state.HistoryException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against histories that are lost or mixed when segments roll and compact, corrupt records that are not
 * detected, and files that are never deleted.
 */
class HistoryStoreTest {
    private static final long SMALL_SEGMENT = 2_000;

    @TempDir
    Path folder;

    @Test
    void historiesNeverMixWhileSegmentsRollAndCompact() throws Exception {
        try (HistoryStore store = HistoryStore.open(folder, SMALL_SEGMENT)) {
            Random random = new Random(42);
            Map<ProgramKey, Integer> steps = new HashMap<>();
            for (int i = 0; i < 3_000; i++) {
                ProgramKey program = program(random.nextInt(20));
                if (random.nextInt(25) == 0) {
                    store.delete(program);
                    steps.remove(program);
                } else {
                    int step = steps.merge(program, 1, Integer::sum);
                    store.append(program, step(program, step));
                }
                ProgramKey read = program(random.nextInt(20));
                check(store, read, steps.getOrDefault(read, 0));
            }
            for (ProgramKey program : List.copyOf(steps.keySet())) {
                store.delete(program);
            }
            assertThat(store.segmentCount()).isEqualTo(1);
            assertThat(files()).isEqualTo(1);
        }
    }

    @Test
    void snapshotKeepsDeletedHistories() throws Exception {
        try (HistoryStore store = HistoryStore.open(folder, 1)) {
            store.append(program(1), step(program(1), 1));
            store.append(program(2), step(program(2), 1));
            try (HistoryStore.HistorySnapshot snapshot = store.snapshot()) {
                store.delete(program(1));
                store.append(program(2), step(program(2), 2));
                int count = 0;
                for (HistoryLocation location : snapshot.steps()) {
                    assertThat(location.read()).isNotEmpty();
                    count++;
                }
                assertThat(count).isEqualTo(2);
            }
            assertThat(files()).isEqualTo(2);
        }
    }

    @Test
    void gapIsRefusedAndFilesOfAnEarlierStartAreNotRead() throws Exception {
        try (HistoryStore store = HistoryStore.open(folder, SMALL_SEGMENT)) {
            store.append(program(1), step(program(1), 1));
            assertThrows(HistoryException.class, () -> store.append(program(1), step(program(1), 3)));
            assertThrows(HistoryException.class, () -> store.append(program(1), step(program(1), 1)));
        }
        try (HistoryStore store = HistoryStore.open(folder, SMALL_SEGMENT)) {
            assertThat(store.read(program(1), 1, 9)).isEmpty();
        }
    }

    @Test
    void corruptOrTruncatedStepIsReported() throws Exception {
        try (HistoryStore store = HistoryStore.open(folder, SMALL_SEGMENT)) {
            store.append(program(1), step(program(1), 1));
            Path file = file();
            try (RandomAccessFile content = new RandomAccessFile(file.toFile(), "rw")) {
                content.seek(30);
                int old = content.read();
                content.seek(30);
                content.write(old ^ 1);
                assertThrows(HistoryException.class, () -> store.read(program(1), 1, 1));
                content.setLength(20);
                assertThrows(HistoryException.class, () -> store.read(program(1), 1, 1));
            }
        }
    }

    private static void check(HistoryStore store, ProgramKey program, int steps) throws HistoryException {
        List<HistoryRecord> read = store.read(program, 1, Integer.MAX_VALUE);
        assertThat(read).hasSize(steps);
        for (int i = 0; i < steps; i++) {
            assertThat(new String(read.get(i).answer(), StandardCharsets.UTF_8)).isEqualTo(program + " " + (i + 1));
        }
    }

    private static ProgramKey program(int number) {
        return ProgramKey.of(OrganisationId.of("acme"), ProgramId.of("p" + number));
    }

    private static HistoryRecord step(ProgramKey program, int step) {
        byte[] text = (program + " " + step).getBytes(StandardCharsets.UTF_8);
        return new HistoryRecord(step, text, text);
    }

    private long files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.count();
        }
    }

    private Path file() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.findFirst().orElseThrow();
        }
    }
}
