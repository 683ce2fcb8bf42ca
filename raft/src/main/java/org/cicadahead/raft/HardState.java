package org.cicadahead.raft;

/**
 * What a replica must remember before it answers. Immutable.
 *
 * @param term the highest term seen
 * @param vote the candidate that got the vote in this term, or null
 */
public record HardState(long term, ReplicaId vote) {
    /** The state of a new replica. */
    public static final HardState INITIAL = new HardState(0, null);
}
