package org.cicadahead.state;

/**
 * A leased attempt to run a step of a program. Immutable.
 *
 * @param fence the fencing token of this attempt
 * @param step the number of the step
 * @param digestPrefix the first 64 bits of the digest of the request
 * @param nonce the nonce that the entry chose, which identifies a resend
 * @param entry the id of the entry that runs the attempt
 * @param reservedTokens the tokens that it reserved from the budget
 * @param untilMillis when its lease expires, in leader time
 */
public record Attempt(
        long fence, int step, long digestPrefix, String nonce, String entry, long reservedTokens, long untilMillis) {

    Attempt renewed(long newUntilMillis) {
        return new Attempt(fence, step, digestPrefix, nonce, entry, reservedTokens, newUntilMillis);
    }
}
