package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Opens a turn of a program: reserves the tokens that it may generate from the budget, and records its input and the
 * software version of the endpoints that may run it. Idempotent; a repetition with another version adds that version.
 * Answered by {@link TurnOpened}.
 *
 * @param turn the id of the turn, which is unique to the attempt
 * @param organisation the organisation; empty on open routes
 * @param program the program; empty if the turn belongs to no program
 * @param budgetTokens the maximum number of tokens that all turns of the program may generate; -1 if unlimited
 * @param maxTokens the maximum number of tokens that this turn generates
 * @param previous the turn that it continues; empty if it starts a new chain
 * @param input the input, if the turn is kept; null otherwise
 * @param retentionMillis how long the turn and the budget are kept, in milliseconds
 * @param knowsPrevious whether the entry holds the content of the previous turn
 * @param softwareVersion the version of the endpoints at which the attempt may begin a stream that its caller can
 *     resume; null if it begins none
 * @param resumedAttempt the attempt that began the stream that this one resumes; empty or null if it resumes none
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
        boolean knowsPrevious,
        String softwareVersion,
        String resumedAttempt)
        implements Command {}
