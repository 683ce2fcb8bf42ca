package org.cicadahead.protocol;

import org.cicadahead.model.EndpointId;

/**
 * Marks claims as unknown that were started by a daemon that is gone. Proposed by the leader.
 *
 * @param endpoint the endpoint
 * @param beforeGeneration claims started by generations below this one are orphans
 */
public record OrphanClaims(EndpointId endpoint, long beforeGeneration) implements Command {}
