package org.cicadahead.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.EndedDelta;

/**
 * A bounded log of ended programs. Each end gets the next version number. A receiver names the last version that it
 * knows and gets the ends after it. Not thread-safe.
 */
public final class EndedPrograms {
    /**
     * Number of ends kept: those of more than two minutes at the expected 123 ends a second, whereas receivers send a
     * heartbeat every 500 ms.
     */
    public static final int CAPACITY = 16_384;
    /** Maximum number of ends in one reply, which bounds its size. */
    public static final int MAX_PER_DELTA = 1_000;

    /**
     * Ring buffer in which the end with version n is at index n modulo the size, so that the reply to a heartbeat
     * copies only the ends that the receiver lacks.
     */
    private final ProgramKey[] ring = new ProgramKey[CAPACITY];

    private long version;
    private int keptCount;

    EndedPrograms() {}

    /**
     * Returns the version of the last end.
     *
     * @return the version; 0 if no program has ended
     */
    public long version() {
        return version;
    }

    /**
     * Returns the ends since the version of a receiver.
     *
     * @param sinceVersion the version of the last end that the receiver knows
     * @return the ends, at most {@value #MAX_PER_DELTA}; marked incomplete if the version is outside the range that is
     *     kept; empty if the receiver is up to date
     */
    public Optional<EndedDelta> since(long sinceVersion) {
        if (sinceVersion == version) {
            return Optional.empty();
        }
        if (sinceVersion < version - keptCount || sinceVersion > version) {
            return Optional.of(new EndedDelta(true, version, List.of()));
        }
        long until = Math.min(version, sinceVersion + MAX_PER_DELTA);
        return Optional.of(new EndedDelta(false, until, range(sinceVersion, until)));
    }

    void add(ProgramKey program) {
        version++;
        ring[(int) (version % CAPACITY)] = program;
        keptCount = Math.min(CAPACITY, keptCount + 1);
    }

    EndedImage image() {
        return new EndedImage(version, range(version - keptCount, version));
    }

    void restore(EndedImage image) {
        version = image.version() - image.listed().size();
        image.listed().forEach(this::add);
    }

    private List<ProgramKey> range(long after, long until) {
        List<ProgramKey> programs = new ArrayList<>((int) (until - after));
        for (long number = after + 1; number <= until; number++) {
            programs.add(ring[(int) (number % CAPACITY)]);
        }
        return programs;
    }

    /**
     * The content of the log for a snapshot.
     *
     * @param version the version of the last end
     * @param listed the ends that are kept, in order
     */
    public record EndedImage(long version, List<ProgramKey> listed) {}
}
