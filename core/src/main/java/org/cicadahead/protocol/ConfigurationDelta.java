package org.cicadahead.protocol;

import java.util.List;

/**
 * Changes of the configuration. Immutable.
 *
 * @param full true if the changes replace everything that the receiver has
 * @param revision the configuration revision after the changes
 * @param changes the changes in ascending order of revision
 */
public record ConfigurationDelta(boolean full, long revision, List<ResourceChange> changes) {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public ConfigurationDelta {
        changes = changes == null ? List.of() : List.copyOf(changes);
    }
}
