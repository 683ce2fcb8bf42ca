package org.cicadahead.protocol;

/**
 * Closes a pending claim that was not started, so that it cannot start under its fencing token. Answered by {@link
 * Done}; refused if the claim has been started.
 *
 * @param claim the claim with its fencing token
 */
public record ReleaseClaim(ClaimRef claim) implements Command {}
