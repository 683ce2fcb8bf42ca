package org.cicadahead.protocol;

import org.cicadahead.model.EndpointId;

/**
 * Marks the claims that were started by a terminated daemon as having an unknown outcome. Proposed by the leader.
 *
 * @param endpoint the endpoint
 * @param beforeGeneration claims started by generations below this one are orphaned
 */
public record OrphanClaims(EndpointId endpoint, long beforeGeneration) implements Command {}
