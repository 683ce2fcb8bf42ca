package org.cicadahead.replication;

import java.io.IOException;
import java.io.InputStream;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;

/**
 * A replicated state machine. All methods are called by a single thread, in log order.
 *
 * <p>Implementations must be deterministic: the same commands with the same times must produce the same state and the
 * same replies on every replica.
 */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index the index of the log entry
     * @param leaderMillis the time at which the leader appended the entry, in milliseconds since the epoch; never
     *     decreases from one entry to the next
     * @param command the command
     * @return the reply to the proposer
     * @throws IOException if the state cannot be stored, for example because the disk is full; the replica then stops
     */
    Message apply(long index, long leaderMillis, Command command) throws IOException;

    /**
     * Called once after a start, when the state has caught up: it then includes everything that was committed before
     * the term of the current leader. Commands that are applied before this call may be far out of date.
     */
    default void caughtUp() {}

    /**
     * Captures the current state for a snapshot. Another thread writes the result while further commands are applied.
     *
     * @return the captured state
     * @throws IOException if the state cannot be read
     */
    StateSnapshot prepareSnapshot() throws IOException;

    /**
     * Replaces the state by the state of a snapshot.
     *
     * @param in the bytes that {@link StateSnapshot#write} wrote
     * @throws IOException if the bytes cannot be read
     */
    void restore(InputStream in) throws IOException;
}
