package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * Answers {@link CheckPrograms}.
 *
 * @param gone those that have ended or are not known
 */
public record ProgramsGone(List<ProgramKey> gone) implements Message {

    /** Copies the collections; an absent one is empty. */
    public ProgramsGone {
        gone = gone == null ? List.of() : List.copyOf(gone);
    }
}
