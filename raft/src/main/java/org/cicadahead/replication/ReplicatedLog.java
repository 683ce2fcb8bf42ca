package org.cicadahead.replication;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;

/** The replicated log as the rest of control uses it. Safe for use by several threads. */
public interface ReplicatedLog {

    /**
     * Appends a command, and waits until it is committed and applied.
     *
     * @param command the command
     * @return the answer of the state machine; fails with a {@link ReplicationException}
     */
    CompletableFuture<Message> propose(Command command);

    /**
     * Returns whether this replica is the leader and holds its lease, so that what it has applied is the latest state.
     *
     * <p>A reader asks before it reads the state, so that the state is not that of a follower, and again afterwards in
     * the same {@link #term()}, so that the lease did not end meanwhile. A new leader holds no lease before it has
     * applied an entry of its own term.
     *
     * @param nowMillis the present monotonic time in milliseconds
     * @return true if it may answer reads and issue grants
     */
    boolean holdsLease(long nowMillis);

    /**
     * Returns the current term, which is the epoch of a leader's tables in memory.
     *
     * @return the term
     */
    long term();

    /**
     * Returns the address of the leader for daemons.
     *
     * @return host and port, or empty if the leader is not known
     */
    String leaderAddress();
}
