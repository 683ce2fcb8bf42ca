package org.cicadahead.fleet;

import java.util.List;
import org.cicadahead.protocol.Message;

/**
 * Shares of rates.
 *
 * @param validMillis how long they hold from the moment at which the entry asked, in milliseconds
 * @param shares a line for each organisation
 */
public record QuotaShares(long validMillis, List<QuotaShare> shares) implements Message {

    /** Copies the list. */
    public QuotaShares {
        shares = shares == null ? List.of() : List.copyOf(shares);
    }
}
