package org.cicadahead.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import org.cicadahead.fleet.CloseTurn;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.TurnOpened;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.Message;
import org.cicadahead.replication.StateMachine;
import org.cicadahead.replication.StateSnapshot;
import org.cicadahead.turns.BudgetRow;
import org.cicadahead.turns.StreamRow;
import org.cicadahead.turns.TurnImage;
import org.cicadahead.turns.TurnRow;
import org.cicadahead.turns.TurnTable;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;

/** The state machine of the stores; applies commands to a turn table. Thread-safe. */
final class TurnStateMachine implements StateMachine {
    private TurnTable table = TurnTable.create();

    @Override
    public synchronized Message apply(long index, long leaderMillis, Command command) throws IOException {
        if (command instanceof OpenTurn open) {
            TurnOpened.Verdict verdict = table.open(open, leaderMillis);
            return new TurnOpened(
                    verdict, null, table.streamVersions(open.organisation(), open.resumedAttempt(), leaderMillis));
        }
        if (command instanceof CloseTurn close) {
            table.close(close, leaderMillis);
            return Done.ok();
        }
        throw new IOException("entry " + index + " holds the unexpected command "
                + command.getClass().getSimpleName());
    }

    /** Returns the text of a chain, or null if a turn of the chain is missing. */
    synchronized byte[] history(String turn) {
        return table.history(turn);
    }

    synchronized int turns() {
        return table.turns();
    }

    synchronized int budgets() {
        return table.budgets();
    }

    @Override
    public synchronized StateSnapshot prepareSnapshot() {
        return new Snapshot(table.image());
    }

    @Override
    public synchronized void restore(InputStream in) throws IOException {
        TurnTable restored = TurnTable.create();
        DataInputStream data = new DataInputStream(in);
        try {
            int turns = data.readInt();
            for (int i = 0; i < turns; i++) {
                restored.restore(read(data, TurnRow.class));
            }
            int budgets = data.readInt();
            for (int i = 0; i < budgets; i++) {
                restored.restore(read(data, BudgetRow.class));
            }
            int streams = readCountOrZero(data);
            for (int i = 0; i < streams; i++) {
                restored.restore(read(data, StreamRow.class));
            }
        } catch (WireException e) {
            throw new IOException("the snapshot cannot be read", e);
        }
        table = restored;
    }

    /** Returns 0 at the end of the data, where a snapshot of an earlier release ends. */
    private static int readCountOrZero(DataInputStream data) throws IOException {
        try {
            return data.readInt();
        } catch (EOFException e) {
            return 0;
        }
    }

    private static <T> T read(DataInputStream data, Class<T> type) throws IOException, WireException {
        byte[] row = new byte[data.readInt()];
        data.readFully(row);
        return Codec.unpack(row, type);
    }

    /**
     * Writes the rows one by one, each prefixed with its length, so that no encoded copy of whole tables is held in
     * memory.
     */
    private record Snapshot(TurnImage image) implements StateSnapshot {
        @Override
        public void write(OutputStream out) throws IOException {
            DataOutputStream data = new DataOutputStream(out);
            data.writeInt(image.turns().size());
            for (TurnRow row : image.turns()) {
                write(data, row);
            }
            data.writeInt(image.budgets().size());
            for (BudgetRow row : image.budgets()) {
                write(data, row);
            }
            data.writeInt(image.streams().size());
            for (StreamRow row : image.streams()) {
                write(data, row);
            }
            data.flush();
        }

        private static void write(DataOutputStream data, Object row) throws IOException {
            try {
                byte[] bytes = Codec.pack(row);
                data.writeInt(bytes.length);
                data.write(bytes);
            } catch (WireException e) {
                throw new IOException("the snapshot cannot be written", e);
            }
        }

        @Override
        public void close() {
            // Holds no resources.
        }
    }
}
