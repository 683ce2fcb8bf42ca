package org.cicadahead.protocol;

import java.util.List;

/**
 * All current poison entries. Immutable.
 *
 * @param version rises with each change
 * @param entries the entries
 */
public record PoisonTable(long version, List<PoisonEntry> entries) {

    /** Copies the collections; an absent one is empty. */
    public PoisonTable {
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
