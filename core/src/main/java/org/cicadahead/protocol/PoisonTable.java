package org.cicadahead.protocol;

import java.util.List;

/**
 * All current poison entries. Immutable.
 *
 * @param version increases with each change
 * @param entries the entries
 */
public record PoisonTable(long version, List<PoisonEntry> entries) {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public PoisonTable {
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
