package org.cicadahead.fleet;

import java.util.List;
import org.cicadahead.protocol.Message;

/**
 * Asks the leader of the hubs for shares of rates. Answered by {@link QuotaShares}.
 *
 * @param entry the name of the entry
 * @param needs one element for each organisation
 */
public record RequestQuota(String entry, List<QuotaNeed> needs) implements Message {

    /** Makes an immutable copy of the list; null becomes an empty list. */
    public RequestQuota {
        needs = needs == null ? List.of() : List.copyOf(needs);
    }
}
