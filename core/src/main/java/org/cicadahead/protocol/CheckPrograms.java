package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * Asks which of the given programs have ended or are unknown. Answered by {@link ProgramsGone}.
 *
 * @param programs the programs
 */
public record CheckPrograms(List<ProgramKey> programs) implements Message {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public CheckPrograms {
        programs = programs == null ? List.of() : List.copyOf(programs);
    }
}
