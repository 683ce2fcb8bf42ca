package org.cicadahead.replication;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;

/** An in-memory replicated log with a single replica, which applies each command immediately. */
final class InMemoryLog implements ReplicatedLog {
    private final StateMachine machine;
    private long index;

    InMemoryLog(StateMachine machine) {
        this.machine = machine;
    }

    @Override
    public synchronized CompletableFuture<Message> propose(Command command) {
        try {
            return CompletableFuture.completedFuture(machine.apply(++index, index, command));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(new ReplicationException(true, "the state machine failed", e));
        }
    }

    @Override
    public boolean holdsLease(long nowMillis) {
        return true;
    }

    @Override
    public long term() {
        return 1;
    }

    @Override
    public String leaderAddress() {
        return "";
    }
}
