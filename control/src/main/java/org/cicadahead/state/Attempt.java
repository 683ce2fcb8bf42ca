package org.cicadahead.state;

/**
 * An attempt to run a step. Immutable.
 *
 * @param fence the fencing token
 * @param step the step
 * @param digestPrefix the first bits of the digest of the request
 * @param nonce the nonce of the entry
 * @param entry the id of the entry
 * @param reservedTokens the tokens that it reserved
 * @param untilMillis when its lease ends, in leader time
 */
public record Attempt(
        long fence, int step, long digestPrefix, String nonce, String entry, long reservedTokens, long untilMillis) {

    Attempt renewed(long newUntilMillis) {
        return new Attempt(fence, step, digestPrefix, nonce, entry, reservedTokens, newUntilMillis);
    }
}
