package org.cicadahead.turns;

import java.util.Set;

/**
 * The software versions of endpoints at which a caller's attempt may have begun a stream. Immutable.
 *
 * @param organisation the organisation that the request belongs to; empty on open routes
 * @param attempt the id of the attempt
 * @param versions the versions
 * @param keptUntilMillis the expiry time, in milliseconds of log time
 */
public record StreamRow(String organisation, String attempt, Set<String> versions, long keptUntilMillis) {

    /** Copies the set; null becomes an empty set. */
    public StreamRow {
        versions = versions == null ? Set.of() : Set.copyOf(versions);
    }
}
