package org.cicadahead.protocol;

/**
 * The use of a grant so far. The counts are cumulative, so a retry is idempotent. Immutable.
 *
 * @param grantId the grant
 * @param spent the number of requests admitted under it so far
 * @param closed true if the entry will not use the remaining requests
 */
public record GrantUse(String grantId, long spent, boolean closed) {}
