package org.cicadahead.protocol;

import org.cicadahead.model.RunId;

/**
 * States that a run certainly did not call the service, and closes its attempt. Answered by {@link Done}.
 *
 * @param claim the claim with its fencing token
 * @param run the run, which may or may not have been recorded as started
 */
public record AbandonClaim(ClaimRef claim, RunId run) implements Command {}
