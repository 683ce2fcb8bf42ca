package org.cicadahead.fleet;

import java.util.List;
import org.cicadahead.protocol.Message;

/**
 * Answers {@link ReadStoreMembers} with the members of the group of stores.
 *
 * @param addresses their addresses
 */
public record StoreMembers(List<String> addresses) implements Message {

    /** Makes an immutable copy of the list; null becomes an empty list. */
    public StoreMembers {
        addresses = addresses == null ? List.of() : List.copyOf(addresses);
    }
}
