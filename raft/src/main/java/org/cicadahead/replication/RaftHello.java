package org.cicadahead.replication;

import org.cicadahead.protocol.Message;
import org.cicadahead.raft.ReplicaId;

/**
 * Announces the id and the address of a replica to another replica, which answers with {@link RaftHelloReply}. Sent
 * repeatedly, so that a connection that was silently lost is detected. Immutable.
 *
 * @param id the id of the sender
 * @param address the address (host and port) of the sender's peer server
 * @param joining whether the sender has an empty log and asks to join as a learner
 */
public record RaftHello(ReplicaId id, String address, boolean joining) implements Message {}
