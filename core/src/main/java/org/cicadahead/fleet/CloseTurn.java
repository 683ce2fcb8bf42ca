package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Closes a turn: settles its reservation and, if it ended whole and is kept, records its output. Answered by {@link
 * org.cicadahead.protocol.Done}. Closing a turn again has no further effect.
 *
 * @param turn the id of the attempt
 * @param organisation the organisation; empty on open routes
 * @param program the program; empty if the turn belongs to none
 * @param tokens the tokens handed to the caller
 * @param output the output of a turn that ended whole and is kept; null otherwise
 */
public record CloseTurn(String turn, String organisation, String program, long tokens, byte[] output)
        implements Command {}
