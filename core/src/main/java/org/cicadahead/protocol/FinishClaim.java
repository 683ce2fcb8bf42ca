package org.cicadahead.protocol;

import org.cicadahead.model.RunId;

/**
 * Records the outcome of a claimed request. Answered by {@link Done}. Idempotent.
 *
 * @param claim the claim with its fencing token
 * @param run the run that started the claim
 * @param outcome the outcome, or null if it is unknown
 */
public record FinishClaim(ClaimRef claim, RunId run, Outcome outcome) implements Command {}
