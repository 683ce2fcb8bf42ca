package org.cicadahead.turns;

/**
 * A turn that later turns may continue. Immutable.
 *
 * @param organisation the organisation that the turn belongs to
 * @param previous the id of the turn that it continues; empty if it begins a chain
 * @param input the input of this turn alone
 * @param output the generated output; null while the turn is open
 * @param keptUntilMillis the expiry time, in milliseconds of log time
 * @param retentionMillis the retention time after its end, in milliseconds
 */
record KeptTurn(
        String organisation, String previous, byte[] input, byte[] output, long keptUntilMillis, long retentionMillis) {

    KeptTurn withOutput(byte[] result, long untilMillis) {
        return new KeptTurn(organisation, previous, input, result, untilMillis, retentionMillis);
    }

    KeptTurn keptUntil(long untilMillis) {
        return untilMillis <= keptUntilMillis
                ? this
                : new KeptTurn(organisation, previous, input, output, untilMillis, retentionMillis);
    }
}
