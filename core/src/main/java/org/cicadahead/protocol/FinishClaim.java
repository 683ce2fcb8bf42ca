package org.cicadahead.protocol;

import org.cicadahead.model.RunId;

/**
 * Records the outcome of a claimed request. Answered by {@link Done}. A resend is harmless.
 *
 * @param claim the claim with its fencing token
 * @param run the run that started it
 * @param outcome the outcome, or null if it is not known
 */
public record FinishClaim(ClaimRef claim, RunId run, Outcome outcome) implements Command {}
