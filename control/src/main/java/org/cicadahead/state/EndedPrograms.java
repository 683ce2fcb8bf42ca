package org.cicadahead.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.EndedDelta;

/** The last ends of programs, each under a number that rises by one. Not safe for use by several threads. */
public final class EndedPrograms {
    /** Ends listed: more than two minutes at the expected 123 ends a second, against heartbeats of 500 ms. */
    public static final int CAPACITY = 16_384;
    /** Ends in one reply, so that a reply stays small. */
    public static final int MAX_PER_DELTA = 1_000;

    /** The end with a number is at that number modulo the size, so that a heartbeat copies only what it lacks. */
    private final ProgramKey[] ring = new ProgramKey[CAPACITY];

    private long version;
    private int listed;

    EndedPrograms() {}

    /**
     * Returns the number of the last end.
     *
     * @return the number; 0 if no program ended
     */
    public long version() {
        return version;
    }

    /**
     * Returns the ends that a receiver lacks.
     *
     * @param sinceVersion the last end that it knows
     * @return the ends, at most {@value #MAX_PER_DELTA}, or empty if it lacks none
     */
    public Optional<EndedDelta> since(long sinceVersion) {
        if (sinceVersion == version) {
            return Optional.empty();
        }
        if (sinceVersion < version - listed || sinceVersion > version) {
            return Optional.of(new EndedDelta(true, version, List.of()));
        }
        long until = Math.min(version, sinceVersion + MAX_PER_DELTA);
        return Optional.of(new EndedDelta(false, until, range(sinceVersion, until)));
    }

    void add(ProgramKey program) {
        version++;
        ring[(int) (version % CAPACITY)] = program;
        listed = Math.min(CAPACITY, listed + 1);
    }

    EndedImage image() {
        return new EndedImage(version, range(version - listed, version));
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
     * The list as values.
     *
     * @param version the number of the last end
     * @param listed the last ends in order
     */
    public record EndedImage(long version, List<ProgramKey> listed) {}
}
