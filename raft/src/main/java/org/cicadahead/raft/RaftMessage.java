package org.cicadahead.raft;

import org.cicadahead.protocol.Message;

/**
 * A message between two replicas. Messages may be lost, delayed, duplicated and reordered. Implementations are
 * immutable.
 */
public interface RaftMessage extends Message {

    /**
     * Returns the sender.
     *
     * @return its id
     */
    ReplicaId from();

    /**
     * Returns the receiver. A replica ignores messages for other ids, because another replica may have used its address
     * before.
     *
     * @return its id
     */
    ReplicaId to();

    /**
     * Returns the term of the sender, or the term of the election for vote messages.
     *
     * @return the term
     */
    long term();
}
