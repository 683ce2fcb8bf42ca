package org.cicadahead.replication;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;

/** A register that counts the values written to it and keeps a digest over their order. */
final class RegisterMachine implements StateMachine {
    private long count;
    private long digest;
    private volatile long value;
    private final List<Long> times = new ArrayList<>();

    /** Sets the register. */
    record SetValue(long value, byte[] padding) implements Command {}

    /** Reads the register through the log. */
    record ReadValue() implements Command {}

    /** The reply to both commands: the value and the count before the command was applied. */
    record Value(long value, long count) implements Message {}

    @Override
    public synchronized Message apply(long index, long leaderMillis, Command command) {
        times.add(leaderMillis);
        Value before = new Value(value, count);
        if (command instanceof SetValue set) {
            value = set.value();
            count++;
            digest = digest * 31 + set.value();
        }
        return before;
    }

    @Override
    public synchronized StateSnapshot prepareSnapshot() {
        long[] state = {count, digest, value};
        return new StateSnapshot() {
            @Override
            public void write(OutputStream out) throws IOException {
                DataOutputStream data = new DataOutputStream(out);
                for (long part : state) {
                    data.writeLong(part);
                }
                // Padding, so that the snapshot needs several chunks.
                data.write(new byte[700 * 1024]);
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public synchronized void restore(InputStream in) throws IOException {
        DataInputStream data = new DataInputStream(in);
        count = data.readLong();
        digest = data.readLong();
        value = data.readLong();
        if (data.readAllBytes().length != 700 * 1024) {
            throw new IOException("the snapshot is truncated");
        }
    }

    synchronized long count() {
        return count;
    }

    synchronized long digest() {
        return digest;
    }

    synchronized long value() {
        return value;
    }

    synchronized List<Long> times() {
        return List.copyOf(times);
    }
}
