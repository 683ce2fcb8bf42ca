package org.cicadahead.raft;

import org.cicadahead.protocol.Message;

/** A message between two replicas. It may be lost, delayed, repeated and reordered. Implementations are immutable. */
public interface RaftMessage extends Message {

    /**
     * Returns the sender.
     *
     * @return its id
     */
    ReplicaId from();

    /**
     * Returns the receiver. A replica ignores messages for another id, which may have had its address before.
     *
     * @return its id
     */
    ReplicaId to();

    /**
     * Returns the term.
     *
     * @return the term
     */
    long term();
}
