package org.cicadahead.control;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.function.Function;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.replication.StateMachine;
import org.cicadahead.replication.StateSnapshot;
import org.cicadahead.state.ControlState;
import org.cicadahead.state.HistoryException;
import org.cicadahead.state.StateImage;

/**
 * Applies the commands of the log to the replicated tables. One thread applies the commands, while any thread may call
 * {@link #read}. Lock order: this object before the history store.
 */
final class ControlStateMachine implements StateMachine {
    private final HistoryStore histories;
    private ControlState state;

    ControlStateMachine(HistoryStore histories) {
        this.histories = histories;
        this.state = ControlState.create(histories);
    }

    @Override
    public synchronized Message apply(long index, long leaderMillis, Command command) throws IOException {
        try {
            return state.apply(leaderMillis, command);
        } catch (HistoryException e) {
            throw new IOException("cannot apply entry " + index, e);
        }
    }

    @Override
    public synchronized StateSnapshot prepareSnapshot() {
        return new Snapshot(state.image(), histories.snapshot());
    }

    @Override
    public synchronized void restore(InputStream in) throws IOException {
        histories.clear();
        StateImage image = SnapshotCodec.read(in, histories);
        state = ControlState.from(histories, image);
    }

    /**
     * Reads the tables under the lock.
     *
     * @param <T> the type of the result
     * @param reader reads the tables; must return quickly, as commands wait for it, and must not retain the tables
     * @return the result of the reader
     */
    synchronized <T> T read(Function<ControlState, T> reader) {
        return reader.apply(state);
    }

    /** Immutable copy of the tables and the locations of the histories. */
    private record Snapshot(StateImage image, HistoryStore.HistorySnapshot histories) implements StateSnapshot {
        @Override
        public void write(OutputStream out) throws IOException {
            SnapshotCodec.write(image, histories, out);
        }

        @Override
        public void close() {
            histories.close();
        }
    }
}
