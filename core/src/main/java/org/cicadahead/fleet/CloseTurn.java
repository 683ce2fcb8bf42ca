package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Closes a turn: settles its token reservation and, if the turn completed and is kept, records its output. Idempotent.
 * Answered by {@link org.cicadahead.protocol.Done}.
 *
 * @param turn the id of the turn, which is unique to the attempt
 * @param organisation the organisation; empty on open routes
 * @param program the program; empty if the turn belongs to no program
 * @param tokens the number of tokens that were sent to the caller
 * @param output the output of a turn that completed and is kept; null otherwise
 */
public record CloseTurn(String turn, String organisation, String program, long tokens, byte[] output)
        implements Command {}
