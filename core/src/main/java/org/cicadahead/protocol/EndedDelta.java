package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * Programs that ended. Immutable.
 *
 * @param incomplete true if older ends are no longer listed, so that the receiver must ask with CheckPrograms
 * @param version the number of the last end listed
 * @param programs the programs
 */
public record EndedDelta(boolean incomplete, long version, List<ProgramKey> programs) {

    /** Copies the collections; an absent one is empty. */
    public EndedDelta {
        programs = programs == null ? List.of() : List.copyOf(programs);
    }
}
