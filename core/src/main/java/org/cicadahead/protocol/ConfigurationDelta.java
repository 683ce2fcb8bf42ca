package org.cicadahead.protocol;

import java.util.List;

/**
 * Changes of the configuration. Immutable.
 *
 * @param full true if the changes replace everything that the receiver has
 * @param revision the configuration revision after the changes
 * @param changes the changes in rising order of revision
 */
public record ConfigurationDelta(boolean full, long revision, List<ResourceChange> changes) {

    /** Copies the collections; an absent one is empty. */
    public ConfigurationDelta {
        changes = changes == null ? List.of() : List.copyOf(changes);
    }
}
