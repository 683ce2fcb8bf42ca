package org.cicadahead.replication;

import org.cicadahead.protocol.Message;
import org.cicadahead.raft.ReplicaId;

/**
 * Answers {@link RaftHello}. Immutable.
 *
 * @param id the replica at the address
 * @param initialised whether it has a log, so that the group exists already
 */
public record RaftHelloReply(ReplicaId id, boolean initialised) implements Message {}
