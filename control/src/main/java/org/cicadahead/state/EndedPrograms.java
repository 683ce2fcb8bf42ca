package org.cicadahead.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.EndedDelta;

/** The last ends of programs, each under a number that rises by one. Not safe for use by several threads. */
public final class EndedPrograms {
    /** Ends listed: more than two minutes at the expected 123 ends a second, against heartbeats of 500 ms. */
    public static final int LISTED = 16_384;
    /** Ends in one reply, so that a reply stays small. */
    public static final int MAX_PER_DELTA = 1_000;

    private final Deque<ProgramKey> listed = new ArrayDeque<>();
    private long version;

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
        long oldest = version - listed.size() + 1;
        if (sinceVersion < oldest - 1 || sinceVersion > version) {
            return Optional.of(new EndedDelta(true, version, List.of()));
        }
        List<ProgramKey> later = listed.stream()
                .skip(sinceVersion - oldest + 1)
                .limit(MAX_PER_DELTA)
                .toList();
        return Optional.of(new EndedDelta(false, sinceVersion + later.size(), later));
    }

    void add(ProgramKey program) {
        version++;
        listed.addLast(program);
        if (listed.size() > LISTED) {
            listed.removeFirst();
        }
    }

    EndedImage image() {
        return new EndedImage(version, new ArrayList<>(listed));
    }

    void restore(EndedImage image) {
        version = image.version();
        listed.addAll(image.listed());
    }

    /**
     * The list as values.
     *
     * @param version the number of the last end
     * @param listed the last ends in order
     */
    public record EndedImage(long version, List<ProgramKey> listed) {}
}
