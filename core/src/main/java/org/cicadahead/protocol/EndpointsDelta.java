package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.EndpointId;

/**
 * Changes of the table of endpoints. Immutable.
 *
 * <p>A new leader sends only additions until it has heard from all endpoints, so that entries keep what they know.
 *
 * @param full true if the announcements replace everything that the receiver has
 * @param epoch the term of the leader that keeps the table; versions of different epochs do not compare
 * @param version the version of the table after the changes
 * @param announced new and changed endpoints
 * @param removed endpoints that are gone
 */
public record EndpointsDelta(
        boolean full, long epoch, long version, List<Announcement> announced, List<EndpointId> removed) {

    /** Copies the collections; an absent one is empty. */
    public EndpointsDelta {
        announced = announced == null ? List.of() : List.copyOf(announced);
        removed = removed == null ? List.of() : List.copyOf(removed);
    }
}
