package org.cicadahead.grants;

import org.cicadahead.model.OrganisationId;

/**
 * Counts of the grants and denials of an organisation since the current leader took over. Immutable.
 *
 * @param organisation the organisation
 * @param asked how often entries asked for a grant
 * @param granted the number of requests granted
 * @param deniedWithinRate how often nothing was granted although the organisation was within its rate
 * @param deniedOverRate how often nothing was granted because its rate was used up
 */
public record OrganisationGrantStats(
        OrganisationId organisation, long asked, long granted, long deniedWithinRate, long deniedOverRate) {

    /**
     * Returns the share of the grant requests within the rate that got a grant.
     *
     * @return from 0 to 1; 1 if none was within the rate
     */
    public double servedShare() {
        long withinRate = asked - deniedOverRate;
        return withinRate == 0 ? 1.0 : 1.0 - (double) deniedWithinRate / withinRate;
    }
}
