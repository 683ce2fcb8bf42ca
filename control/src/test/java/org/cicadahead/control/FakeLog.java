package org.cicadahead.control;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.replication.ReplicatedLog;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.replication.StateMachine;

/**
 * A log of a single replica that applies commands at once and stores nothing. Tests set its clock, lease, term and
 * failure.
 */
final class FakeLog implements ReplicatedLog {
    private final StateMachine machine;
    long wallMillis = 1_000_000;
    boolean lease = true;
    long term = 1;
    ReplicationException failure;
    private long index;

    FakeLog(StateMachine machine) {
        this.machine = machine;
    }

    @Override
    public CompletableFuture<Message> propose(Command command) {
        if (failure != null) {
            return CompletableFuture.failedFuture(failure);
        }
        index++;
        try {
            return CompletableFuture.completedFuture(machine.apply(index, wallMillis, command));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(new ReplicationException(true, "cannot apply", e));
        }
    }

    @Override
    public boolean holdsLease(long nowMillis) {
        return lease;
    }

    @Override
    public long term() {
        return term;
    }

    @Override
    public String leaderAddress() {
        return "10.0.0.1:7";
    }
}
