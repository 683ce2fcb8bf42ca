package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * Answers {@link CheckPrograms}.
 *
 * @param gone the programs that have ended or are unknown
 */
public record ProgramsGone(List<ProgramKey> gone) implements Message {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public ProgramsGone {
        gone = gone == null ? List.of() : List.copyOf(gone);
    }
}
