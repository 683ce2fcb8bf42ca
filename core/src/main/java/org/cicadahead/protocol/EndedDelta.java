package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * The programs that ended since the version that the receiver knows. Immutable.
 *
 * @param incomplete true if some ended programs are no longer listed, so that the receiver must ask with {@link
 *     CheckPrograms}
 * @param version the sequence number of the last listed program
 * @param programs the programs
 */
public record EndedDelta(boolean incomplete, long version, List<ProgramKey> programs) {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public EndedDelta {
        programs = programs == null ? List.of() : List.copyOf(programs);
    }
}
