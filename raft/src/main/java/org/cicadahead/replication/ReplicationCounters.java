package org.cicadahead.replication;

/**
 * Counters of a replica since its start. Immutable.
 *
 * @param term the term
 * @param lastIndex the last entry of the log
 * @param commitIndex the last entry known to be committed
 * @param appliedIndex the last entry applied to the state machine
 * @param snapshotIndex the last entry that the latest snapshot covers; 0 if there is none
 * @param syncs how many times the log was synced
 * @param syncNanos the time that the syncs took, in nanoseconds
 * @param elections how many elections this replica has begun
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
