package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.EndpointId;

/**
 * Changes of the endpoint table. Immutable.
 *
 * <p>A new leader sends only additions until it has heard from all endpoints, so that entries do not drop endpoints
 * that have not reported to it yet.
 *
 * @param full true if the announcements replace everything that the receiver has
 * @param epoch the term of the leader that maintains the table; versions of different epochs are not comparable
 * @param version the version of the table after the changes
 * @param announced new and changed endpoints
 * @param removed endpoints that were removed
 */
public record EndpointsDelta(
        boolean full, long epoch, long version, List<Announcement> announced, List<EndpointId> removed) {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public EndpointsDelta {
        announced = announced == null ? List.of() : List.copyOf(announced);
        removed = removed == null ? List.of() : List.copyOf(removed);
    }
}
