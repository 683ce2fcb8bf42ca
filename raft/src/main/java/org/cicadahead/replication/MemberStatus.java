package org.cicadahead.replication;

import org.cicadahead.raft.ReplicaId;

/**
 * A replica of the group as the answering replica sees it. Immutable.
 *
 * @param id the replica id
 * @param address host and port of its peer server
 * @param voter whether it votes; otherwise it is a learner
 * @param leader whether it is the leader
 * @param matchIndex the last entry that it is known to have synced; 0 unless the leader answers
 */
public record MemberStatus(ReplicaId id, String address, boolean voter, boolean leader, long matchIndex) {}
