package org.cicadahead.protocol;

import org.cicadahead.model.OrganisationId;

/**
 * Permission to admit requests. Immutable.
 *
 * @param organisation the organisation
 * @param grantId identifies the grant; empty if nothing was granted
 * @param requests how many requests may be admitted
 * @param retryAfterMillis after how many milliseconds the bucket has a request again; 0 if requests were granted
 * @param withinRate true if nothing was granted although the organisation is within its rate, because grants are
 *     outstanding or the leader is new
 */
public record Grant(
        OrganisationId organisation, String grantId, long requests, long retryAfterMillis, boolean withinRate) {}
