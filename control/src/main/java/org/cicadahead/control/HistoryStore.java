package org.cicadahead.control;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.state.HistoryException;
import org.cicadahead.state.HistorySink;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * Stores the histories of programs in segment files; only the location of each step is kept in memory. Thread-safe: the
 * thread that applies commands appends and deletes, and workers read. No other lock is acquired under the lock of this
 * object, and it is not held while histories are read from the files.
 *
 * <p>The files are not synced to disk and are deleted at each start, because the snapshot and the log hold the same
 * steps durably and rebuild the files. Each record contains a CRC32C checksum and the key of its program, which reads
 * verify.
 */
final class HistoryStore implements HistorySink, Closeable {
    /** A segment is sealed at this size, in bytes. */
    static final long SEGMENT_BYTES = 64L * 1024 * 1024;

    private static final Logger LOG = Logger.getLogger("cicadahead.control");
    private static final String SUFFIX = ".history";

    private final Path folder;
    private final long segmentBytes;
    private final Map<ProgramKey, List<HistoryLocation>> index = new HashMap<>();
    private final Set<HistorySegment> segments = new LinkedHashSet<>();
    private HistorySegment current;
    private long lastSegmentNumber;

    private HistoryStore(Path folder, long segmentBytes) {
        this.folder = folder;
        this.segmentBytes = segmentBytes;
    }

    static HistoryStore open(Path folder, long segmentBytes) throws IOException {
        Files.createDirectories(folder);
        try (DirectoryStream<Path> old = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
            for (Path file : old) {
                Files.delete(file);
            }
        }
        HistoryStore store = new HistoryStore(folder, segmentBytes);
        store.roll();
        return store;
    }

    @Override
    public synchronized void append(ProgramKey program, HistoryRecord step) throws HistoryException {
        List<HistoryLocation> steps = index.computeIfAbsent(program, p -> new ArrayList<>());
        if (step.step() != steps.size() + 1) {
            throw new HistoryException(
                    "step " + step.step() + " of " + program + " does not follow step " + steps.size(), null);
        }
        try {
            steps.add(write(program, Codec.pack(new StoredStep(program, step))));
        } catch (IOException | WireException e) {
            throw new HistoryException("cannot append step " + step.step() + " of " + program, e);
        }
    }

    @Override
    public synchronized void delete(ProgramKey program) {
        List<HistoryLocation> steps = index.remove(program);
        if (steps == null) {
            return;
        }
        Set<HistorySegment> affected = new HashSet<>();
        for (HistoryLocation step : steps) {
            step.segment().programs.remove(program);
            affected.add(step.segment());
            release(step);
        }
        affected.forEach(this::compact);
    }

    /**
     * Reads steps of a program.
     *
     * @param program the program
     * @param fromStep the first step
     * @param toStep the last step
     * @return the steps that exist, in order
     * @throws HistoryException if a step cannot be read or belongs to another program
     */
    List<HistoryRecord> read(ProgramKey program, int fromStep, int toStep) throws HistoryException {
        List<HistoryLocation> wanted;
        synchronized (this) {
            List<HistoryLocation> steps = index.getOrDefault(program, List.of());
            int from = Math.max(0, fromStep - 1);
            int to = Math.min(toStep, steps.size());
            wanted = from >= to ? List.of() : List.copyOf(steps.subList(from, to));
            wanted.forEach(l -> l.segment().pin());
        }
        try {
            List<HistoryRecord> records = new ArrayList<>(wanted.size());
            for (HistoryLocation location : wanted) {
                StoredStep stored = Codec.unpack(location.read(), StoredStep.class);
                int expected = Math.max(1, fromStep) + records.size();
                if (!stored.program().equals(program) || stored.record().step() != expected) {
                    throw new HistoryException(
                            "the record at step " + expected + " of " + program + " belongs to another step", null);
                }
                records.add(stored.record());
            }
            return records;
        } catch (IOException | WireException e) {
            throw new HistoryException("cannot read the history of " + program, e);
        } finally {
            unpin(wanted);
        }
    }

    /** Returns a snapshot of all histories. It pins their segments until it is closed. */
    synchronized HistorySnapshot snapshot() {
        Map<ProgramKey, List<HistoryLocation>> copy = new TreeMap<>();
        index.forEach((program, steps) -> copy.put(program, List.copyOf(steps)));
        segments.forEach(HistorySegment::pin);
        return new HistorySnapshot(copy, List.copyOf(segments));
    }

    /** Deletes all histories. */
    synchronized void clear() throws IOException {
        for (ProgramKey program : List.copyOf(index.keySet())) {
            delete(program);
        }
        roll();
    }

    synchronized int segmentCount() {
        return segments.size();
    }

    @Override
    public synchronized void close() throws IOException {
        for (HistorySegment segment : segments) {
            segment.close();
        }
    }

    private void roll() throws IOException {
        HistorySegment full = current;
        lastSegmentNumber++;
        current = HistorySegment.create(folder.resolve(String.format("%016d%s", lastSegmentNumber, SUFFIX)));
        segments.add(current);
        if (full != null) {
            full.seal();
            removeIfObsolete(full);
        }
    }

    private HistoryLocation write(ProgramKey program, byte[] record) throws IOException {
        if (current.size() >= segmentBytes) {
            roll();
        }
        current.programs.add(program);
        return current.append(record);
    }

    /**
     * Copies the remaining live steps of a mostly unused segment to the current one, so that one long program does not
     * keep the whole file on disk.
     */
    private void compact(HistorySegment segment) {
        if (!segment.needsCompaction()) {
            return;
        }
        try {
            for (ProgramKey program : List.copyOf(segment.programs)) {
                List<HistoryLocation> steps = index.get(program);
                for (int i = 0; i < steps.size(); i++) {
                    HistoryLocation old = steps.get(i);
                    if (old.segment() == segment) {
                        steps.set(i, write(program, old.read()));
                        release(old);
                    }
                }
            }
            segment.programs.clear();
        } catch (IOException e) {
            LOG.warnf(e, "control: Cannot compact a history segment");
        }
    }

    private void release(HistoryLocation location) {
        try {
            location.segment().release(location.length());
        } catch (IOException e) {
            LOG.warnf(e, "control: Cannot delete a history segment");
        }
        removeIfObsolete(location.segment());
    }

    private void removeIfObsolete(HistorySegment segment) {
        if (segment.isObsolete()) {
            segments.remove(segment);
        }
    }

    private synchronized void unpin(List<HistoryLocation> locations) {
        locations.forEach(l -> unpin(l.segment()));
    }

    private synchronized void unpin(HistorySegment segment) {
        try {
            segment.unpin();
        } catch (IOException e) {
            LOG.warnf(e, "control: Cannot delete a history segment");
        }
    }

    /** A snapshot of all histories. */
    final class HistorySnapshot implements Closeable {
        private final Map<ProgramKey, List<HistoryLocation>> histories;
        private final List<HistorySegment> pinned;

        private HistorySnapshot(Map<ProgramKey, List<HistoryLocation>> histories, List<HistorySegment> pinned) {
            this.histories = histories;
            this.pinned = pinned;
        }

        /** Returns the locations of all steps, ordered by program and step. */
        Iterable<HistoryLocation> steps() {
            return () -> histories.values().stream().flatMap(List::stream).iterator();
        }

        @Override
        public void close() {
            pinned.forEach(HistoryStore.this::unpin);
        }
    }
}
