package org.cicadahead.replication;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;

/** The interface through which other components use the replicated log. Implementations are thread-safe. */
public interface ReplicatedLog {

    /**
     * Appends a command to the log. The returned future completes when the command is committed and applied.
     *
     * @param command the command
     * @return the reply of the state machine; fails with a {@link ReplicationException}
     */
    CompletableFuture<Message> propose(Command command);

    /**
     * Returns whether this replica is the leader and holds a valid lease, which means that its applied state is the
     * latest.
     *
     * <p>A reader must call this method before it reads the state, to make sure that the state is not that of a
     * follower, and again afterwards in the same {@link #term()}, to make sure that the lease did not expire in
     * between. A new leader holds no lease until it has applied an entry of its own term.
     *
     * @param nowMillis the current monotonic time in milliseconds
     * @return true if this replica may serve reads and issue grants
     */
    boolean holdsLease(long nowMillis);

    /**
     * Returns the current term. It also serves as the epoch of the in-memory tables of a leader.
     *
     * @return the term
     */
    long term();

    /**
     * Returns the address of the leader, for use by daemons.
     *
     * @return host and port, or an empty string if the leader is not known or this replica has stopped
     */
    String leaderAddress();
}
