package org.cicadahead.control;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.replication.ReplicatedLog;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.replication.StateMachine;

/** A log of one replica that keeps nothing; stands in until the replicated one is wired. */
final class SingleNodeLog implements ReplicatedLog {
    private final StateMachine machine;
    private final String address;
    private long index;
    private long lastMillis;

    SingleNodeLog(StateMachine machine, String address) {
        this.machine = machine;
        this.address = address;
    }

    @Override
    public synchronized CompletableFuture<Message> propose(Command command) {
        index++;
        lastMillis = Math.max(lastMillis, System.currentTimeMillis());
        try {
            return CompletableFuture.completedFuture(machine.apply(index, lastMillis, command));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(new ReplicationException(true, "cannot apply", e));
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
        return address;
    }
}
