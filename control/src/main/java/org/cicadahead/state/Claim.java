package org.cicadahead.state;

import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.Outcome;

/**
 * A claim on the execution of a non-repeatable request, identified by its idempotency key. Immutable.
 *
 * @param key the organisation and the idempotency key
 * @param digest the digest of the request
 * @param state the state
 * @param fence the fencing token of the last attempt
 * @param nonce the nonce of the last attempt
 * @param changedMillis when the state last changed, in leader time
 * @param endpoint the endpoint that started the request, or null
 * @param generation the generation of the endpoint daemon that started the request, or 0 if none has
 * @param run the run that executes the request, or null
 * @param outcome the outcome if the state is DONE, else null
 */
public record Claim(
        ClaimKey key,
        RequestDigest digest,
        ClaimState state,
        long fence,
        String nonce,
        long changedMillis,
        EndpointId endpoint,
        long generation,
        RunId run,
        Outcome outcome) {

    static Claim pending(ClaimKey key, RequestDigest digest, long fence, String nonce, long nowMillis) {
        return new Claim(key, digest, ClaimState.PENDING, fence, nonce, nowMillis, null, 0, null, null);
    }

    Claim renewed(long nowMillis) {
        return new Claim(key, digest, state, fence, nonce, nowMillis, endpoint, generation, run, outcome);
    }

    Claim started(EndpointId byEndpoint, long byGeneration, RunId byRun, long nowMillis) {
        return new Claim(
                key, digest, ClaimState.STARTED, fence, nonce, nowMillis, byEndpoint, byGeneration, byRun, null);
    }

    Claim ended(ClaimState endState, Outcome result, long nowMillis) {
        return new Claim(key, digest, endState, fence, nonce, nowMillis, endpoint, generation, run, result);
    }

    boolean isStartedBy(long byFence, RunId byRun) {
        return state == ClaimState.STARTED && isAttempt(byFence, byRun);
    }

    boolean isAttempt(long byFence, RunId byRun) {
        return fence == byFence && byRun.equals(run);
    }
}
