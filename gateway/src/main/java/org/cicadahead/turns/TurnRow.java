package org.cicadahead.turns;

/**
 * A kept turn in a snapshot. Immutable.
 *
 * @param turn the id of the turn
 * @param organisation the organisation that the turn belongs to
 * @param previous the id of the turn that it continues; empty if it begins a chain
 * @param input the input of this turn alone
 * @param output the generated output; null if the turn was open
 * @param keptUntilMillis the expiry time, in milliseconds of log time
 * @param retentionMillis the retention time after its end, in milliseconds
 */
public record TurnRow(
        String turn,
        String organisation,
        String previous,
        byte[] input,
        byte[] output,
        long keptUntilMillis,
        long retentionMillis) {}
