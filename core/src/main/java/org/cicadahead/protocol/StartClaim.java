package org.cicadahead.protocol;

import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RunId;

/**
 * Records that an endpoint is about to run a claimed request. Answered by {@link Done}; accepted only while the claim
 * is pending under the same fencing token.
 *
 * <p>The endpoint daemon calls the service only after an accepted answer.
 *
 * @param claim the claim with its fencing token
 * @param endpoint the endpoint
 * @param generation start time of the endpoint daemon in milliseconds since the epoch
 * @param run the run
 */
public record StartClaim(ClaimRef claim, EndpointId endpoint, long generation, RunId run) implements Command {}
