package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * Asks which programs are gone. Answered by {@link ProgramsGone}.
 *
 * @param programs the programs
 */
public record CheckPrograms(List<ProgramKey> programs) implements Message {

    /** Copies the collections; an absent one is empty. */
    public CheckPrograms {
        programs = programs == null ? List.of() : List.copyOf(programs);
    }
}
