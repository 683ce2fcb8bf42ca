package org.cicadahead.protocol;

import org.cicadahead.model.OrganisationId;

/**
 * Permission of the leader for an entry to admit requests of an organisation. Immutable.
 *
 * @param organisation the organisation
 * @param grantId identifies the grant; empty if nothing was granted
 * @param requests how many requests may be admitted
 * @param retryAfterMillis the time until the token bucket holds a token again, in milliseconds; 0 if requests were
 *     granted
 * @param withinRate true if nothing was granted although the organisation is within its rate, because other grants are
 *     outstanding or the leader was elected recently
 */
public record Grant(
        OrganisationId organisation, String grantId, long requests, long retryAfterMillis, boolean withinRate) {}
