package org.cicadahead.replication;

import org.cicadahead.raft.ReplicaId;

/**
 * The status of a group member as seen by the replica that reports it. Immutable.
 *
 * @param id the replica id
 * @param address host and port of its peer server
 * @param voter whether the member is a voter; otherwise it is a learner
 * @param leader whether the member is the leader
 * @param matchIndex the index of the last entry that the member is known to have synced; 0 if the reporting replica is
 *     not the leader
 */
public record MemberStatus(ReplicaId id, String address, boolean voter, boolean leader, long matchIndex) {}
