package org.cicadahead.replication;

import org.cicadahead.protocol.Message;
import org.cicadahead.raft.ReplicaId;

/**
 * Tells another replica who is at an address. Answered by {@link RaftHelloReply}. Repeated, so that a connection that
 * is cut silently is noticed. Immutable.
 *
 * @param id the sender
 * @param address host and port of its peer server
 * @param joining whether it has an empty log and asks to become a learner
 */
public record RaftHello(ReplicaId id, String address, boolean joining) implements Message {}
