package org.cicadahead.group;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cicadahead.fleet.DecommissionState;
import org.cicadahead.fleet.DecommissionStore;
import org.cicadahead.fleet.FleetMessages;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.replication.StateMachine;
import org.cicadahead.replication.StateSnapshot;
import org.cicadahead.wire.TestPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a role that runs on without its replica after one write to the disk has failed. */
class RestartableReplicaTest {
    private static final long LIMIT_SECONDS = 20;
    private static final DecommissionStore COMMAND = new DecommissionStore("store", "127.0.0.1:1");

    @TempDir
    Path folder;

    private final AtomicBoolean full = new AtomicBoolean();
    private final AtomicInteger starts = new AtomicInteger();
    private final BlockingQueue<Command> applied = new LinkedBlockingQueue<>();
    private RestartableReplica replica;

    /** Applies commands unless the disk is full. */
    private final class Machine implements StateMachine {

        @Override
        public Message apply(long index, long leaderMillis, Command command) throws IOException {
            if (full.get()) {
                throw new IOException("no space left");
            }
            applied.add(command);
            return new DecommissionState(DecommissionState.Phase.TOO_FEW);
        }

        @Override
        public StateSnapshot prepareSnapshot() {
            throw new UnsupportedOperationException("so few commands need no snapshot");
        }

        @Override
        public void restore(InputStream in) {}
    }

    private void begin() throws Exception {
        String address = "127.0.0.1:" + TestPorts.free();
        MessageCatalog catalog = ReplicatedNode.catalog(FleetMessages.catalog(MessageCatalog.standard()));
        replica = RestartableReplica.of("test", founds -> {
            if (starts.incrementAndGet() == 2 && full.get()) {
                throw new ReplicationException(false, "no space left", null);
            }
            return ReplicatedNode.start(
                    ReplicationConfig.of(folder, address, List.of(address), founds), new Machine(), catalog);
        });
        replica.start(true);
        await(() -> replica.node().holdsLease(ReplicatedNode.monotonicMillis()));
    }

    private void fail() {
        full.set(true);
        assertThrows(
                ExecutionException.class, () -> replica.node().propose(COMMAND).get(LIMIT_SECONDS, TimeUnit.SECONDS));
        await(() -> !replica.isRunning());
    }

    private static void await(BooleanSupplier condition) {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > limit) {
                throw new AssertionError("not in time");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    @AfterEach
    void stop() {
        replica.close();
    }

    /** Guards against the loss of a command that was committed before the state machine failed. */
    @Test
    void appliesAfterARestartWhatWasCommittedBefore() throws Exception {
        begin();
        fail();
        full.set(false);
        replica.restartIfFailed();
        assertThat(replica.isRunning()).isTrue();
        assertThat(applied.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(COMMAND);
    }

    /** Guards against a replica that is given up when one restart has failed. */
    @Test
    void isStartedAgainAfterARestartThatFailed() throws Exception {
        begin();
        fail();
        replica.restartIfFailed();
        assertThat(replica.isRunning()).isFalse();
        full.set(false);
        replica.restartIfFailed();
        assertThat(replica.isRunning()).isTrue();
        assertThat(starts.get()).isEqualTo(3);
    }

    /** Guards against the restart of a replica that runs, and of one whose role has ended. */
    @Test
    void leavesARunningAndAClosedReplicaAlone() throws Exception {
        begin();
        replica.restartIfFailed();
        assertThat(starts.get()).isEqualTo(1);
        fail();
        replica.close();
        replica.restartIfFailed();
        assertThat(starts.get()).isEqualTo(1);
    }
}
