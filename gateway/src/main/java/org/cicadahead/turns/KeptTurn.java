package org.cicadahead.turns;

/**
 * A turn that later ones may continue. Immutable.
 *
 * @param organisation the organisation that it belongs to
 * @param previous the turn that it continues; empty if it begins a chain
 * @param input its own input
 * @param output what it said; null as long as it is open
 * @param keptUntilMillis when it may be forgotten, in milliseconds of the log's time
 * @param retentionMillis how long it is kept after its end, in milliseconds
 */
record KeptTurn(
        String organisation, String previous, byte[] input, byte[] output, long keptUntilMillis, long retentionMillis) {

    KeptTurn closed(byte[] said, long untilMillis) {
        return new KeptTurn(organisation, previous, input, said, untilMillis, retentionMillis);
    }

    KeptTurn keptUntil(long untilMillis) {
        return untilMillis <= keptUntilMillis
                ? this
                : new KeptTurn(organisation, previous, input, output, untilMillis, retentionMillis);
    }
}
