package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Opens a turn of a program: reserves what it may generate of the budget and records its input. Answered by {@link
 * TurnOpened}. Opening the same turn again has no further effect.
 *
 * @param turn the id of the attempt
 * @param organisation the organisation; empty on open routes
 * @param program the program; empty if the turn belongs to none
 * @param budgetTokens the tokens that all turns of the program may generate; -1 if not limited
 * @param maxTokens the most tokens that this turn generates
 * @param previous the turn that it continues; empty if it begins a chain
 * @param input the input, if the turn is kept; null otherwise
 * @param retentionMillis how long the turn and the budget are kept, in milliseconds
 * @param knowsPrevious whether the entry holds the text of the previous turn
 */
public record OpenTurn(
        String turn,
        String organisation,
        String program,
        long budgetTokens,
        long maxTokens,
        String previous,
        byte[] input,
        long retentionMillis,
        boolean knowsPrevious)
        implements Command {}
