package org.cicadahead.protocol;

/**
 * What an entry did with a grant so far. Cumulative, so that a resend is harmless. Immutable.
 *
 * @param grantId the grant
 * @param spent requests admitted under it so far
 * @param closed true if the rest will not be used
 */
public record GrantUse(String grantId, long spent, boolean closed) {}
