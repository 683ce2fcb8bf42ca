package org.cicadahead.raft;

import java.util.Objects;

/**
 * A member of the replication group. Immutable.
 *
 * @param id the replica id
 * @param address host and port of its peer server
 * @param voter whether the member is a voter, whose votes and acknowledgements count; a learner only receives the log
 */
public record Member(ReplicaId id, String address, boolean voter) {

    /**
     * Checks the fields.
     *
     * @throws NullPointerException if the id or the address is null
     */
    public Member {
        Objects.requireNonNull(id, "The id must not be null");
        Objects.requireNonNull(address, "The address must not be null");
    }
}
