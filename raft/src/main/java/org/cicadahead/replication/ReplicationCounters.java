package org.cicadahead.replication;

/**
 * The indexes of a replica and its counters, which start at 0 whenever the replica starts. Immutable.
 *
 * @param term the current term
 * @param lastIndex the index of the last entry of the log
 * @param commitIndex the index of the last entry known to be committed
 * @param appliedIndex the index of the last entry applied to the state machine
 * @param snapshotIndex the index of the last entry that the latest snapshot covers; 0 if there is no snapshot
 * @param syncs the number of times the log was synced
 * @param syncNanos the total duration of these syncs, in nanoseconds
 * @param elections the number of elections that this replica has started
 */
public record ReplicationCounters(
        long term,
        long lastIndex,
        long commitIndex,
        long appliedIndex,
        long snapshotIndex,
        long syncs,
        long syncNanos,
        long elections) {}
