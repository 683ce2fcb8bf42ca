package org.cicadahead.raft;

/**
 * The state that a replica must persist before it replies to a message. Immutable.
 *
 * @param term the highest term seen
 * @param vote the candidate that this replica voted for in this term, or null
 */
public record HardState(long term, ReplicaId vote) {
    /** The hard state of a new replica. */
    public static final HardState INITIAL = new HardState(0, null);
}
