package org.cicadahead.fleet;

import java.util.List;
import org.cicadahead.protocol.Message;

/**
 * Answers {@link RequestQuota} with shares of rates.
 *
 * @param validMillis the validity of the shares, in milliseconds from the time when the entry sent the request
 * @param shares one share for each organisation
 */
public record QuotaShares(long validMillis, List<QuotaShare> shares) implements Message {

    /** Makes an immutable copy of the list; null becomes an empty list. */
    public QuotaShares {
        shares = shares == null ? List.of() : List.copyOf(shares);
    }
}
