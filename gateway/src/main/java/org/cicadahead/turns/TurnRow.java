package org.cicadahead.turns;

/**
 * A kept turn in a snapshot. Immutable.
 *
 * @param turn its id
 * @param organisation the organisation that it belongs to
 * @param previous the turn that it continues; empty if it begins a chain
 * @param input its own input
 * @param output what it said; null if it was open
 * @param keptUntilMillis when it may be forgotten, in milliseconds of the log's time
 * @param retentionMillis how long it is kept after its end, in milliseconds
 */
public record TurnRow(
        String turn,
        String organisation,
        String previous,
        byte[] input,
        byte[] output,
        long keptUntilMillis,
        long retentionMillis) {}
