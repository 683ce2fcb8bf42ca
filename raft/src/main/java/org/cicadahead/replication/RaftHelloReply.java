package org.cicadahead.replication;

import org.cicadahead.protocol.Message;
import org.cicadahead.raft.ReplicaId;

/**
 * The reply to {@link RaftHello}. Immutable.
 *
 * @param id the id of the replica at the address
 * @param initialised whether the replica has a non-empty log, which means that the group already exists
 */
public record RaftHelloReply(ReplicaId id, boolean initialised) implements Message {}
