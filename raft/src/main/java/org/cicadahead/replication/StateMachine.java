package org.cicadahead.replication;

import java.io.IOException;
import java.io.InputStream;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;

/**
 * Replicated state. All methods are called by one thread, in log order.
 *
 * <p>An implementation must be deterministic: the same commands at the same times give the same state and answers on
 * each replica.
 */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index the index of the log entry
     * @param leaderMillis the time at which the leader appended it, in milliseconds since the epoch; never goes back
     *     from one entry to the next
     * @param command the command
     * @return the answer to the proposer
     * @throws IOException if the state cannot be kept, for example because the disk is full; the replica stops
     */
    Message apply(long index, long leaderMillis, Command command) throws IOException;

    /**
     * Takes note that the state is up to date for the first time since the replica started: it holds all that was
     * committed before the present leader began. Commands that are applied before that may be long out of date.
     */
    default void caughtUp() {}

    /**
     * Freezes the state for a snapshot. The result is written by another thread while commands go on.
     *
     * @return the frozen state
     * @throws IOException if the state cannot be read
     */
    StateSnapshot prepareSnapshot() throws IOException;

    /**
     * Replaces the state by that of a snapshot.
     *
     * @param in the bytes that {@link StateSnapshot#write} gave
     * @throws IOException if the bytes cannot be read
     */
    void restore(InputStream in) throws IOException;
}
