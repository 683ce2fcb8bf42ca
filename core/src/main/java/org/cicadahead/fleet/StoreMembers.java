package org.cicadahead.fleet;

import java.util.List;
import org.cicadahead.protocol.Message;

/**
 * The members of the group of stores.
 *
 * @param addresses their addresses
 */
public record StoreMembers(List<String> addresses) implements Message {

    /** Copies the list. */
    public StoreMembers {
        addresses = addresses == null ? List.of() : List.copyOf(addresses);
    }
}
