package org.cicadahead.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
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
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.storage.StorageException;
import org.cicadahead.wire.TestPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a replica that stopped after a failed disk write is restarted, so that its role does not run without it.
 */
class RestartableReplicaTest {
    private static final long LIMIT_SECONDS = 20;
    private static final RegisterMachine.ReadValue COMMAND = new RegisterMachine.ReadValue();

    @TempDir
    Path folder;

    private final AtomicBoolean diskFull = new AtomicBoolean();
    private final AtomicBoolean blocked = new AtomicBoolean();
    private final AtomicInteger starts = new AtomicInteger();
    private final BlockingQueue<Command> applied = new LinkedBlockingQueue<>();
    private RestartableReplica replica;

    /** A state machine that fails as long as the simulated disk is full. */
    private final class Machine implements StateMachine {

        @Override
        public Message apply(long index, long leaderMillis, Command command) throws IOException {
            if (diskFull.get()) {
                throw new IOException("no space left");
            }
            applied.add(command);
            await(() -> !blocked.get());
            return new RegisterMachine.Value(0, 0);
        }

        @Override
        public StateSnapshot prepareSnapshot() {
            throw new UnsupportedOperationException("this test writes too few commands for a snapshot");
        }

        @Override
        public void restore(InputStream in) {}
    }

    private void startReplica() throws Exception {
        String address = "127.0.0.1:" + TestPorts.free();
        replica = RestartableReplica.of("test", folder, bootstrap -> {
            if (starts.incrementAndGet() == 2 && diskFull.get()) {
                throw new ReplicationException(false, "no space left", null);
            }
            return ReplicatedNode.start(
                    ReplicationConfig.of(folder, address, List.of(address), bootstrap),
                    new Machine(),
                    TestGroup.CATALOG);
        });
        replica.start(true);
        await(() -> replica.node().holdsLease(ReplicatedNode.monotonicMillis()));
    }

    private void failReplica() {
        diskFull.set(true);
        assertThrows(
                ExecutionException.class, () -> replica.node().propose(COMMAND).get(LIMIT_SECONDS, TimeUnit.SECONDS));
        await(() -> !replica.isRunning());
    }

    private static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("the condition did not hold within the time limit");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    @AfterEach
    void stop() {
        replica.close();
    }

    /** A command that was committed before the state machine failed must be applied after the restart. */
    @Test
    void appliesCommittedCommandsAfterARestart() throws Exception {
        startReplica();
        failReplica();
        diskFull.set(false);
        replica.restartIfFailed();
        assertThat(replica.isRunning()).isTrue();
        assertThat(applied.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(COMMAND);
    }

    /** A restart that fails, for example because the disk is still full, must be retried at the next call. */
    @Test
    void retriesAFailedRestart() throws Exception {
        startReplica();
        failReplica();
        replica.restartIfFailed();
        assertThat(replica.isRunning()).isFalse();
        diskFull.set(false);
        replica.restartIfFailed();
        assertThat(replica.isRunning()).isTrue();
        assertThat(starts.get()).isEqualTo(3);
    }

    /** A running replica and a closed one must not be restarted. */
    @Test
    void doesNotRestartARunningOrClosedReplica() throws Exception {
        startReplica();
        replica.restartIfFailed();
        assertThat(starts.get()).isEqualTo(1);
        failReplica();
        replica.close();
        replica.restartIfFailed();
        assertThat(starts.get()).isEqualTo(1);
    }

    /** A replica that could not write must serve again as the same voter, with all that it had acknowledged. */
    @Test
    void servesAgainAsTheSameVoterOnceItsStorageTakesWrites() throws Exception {
        startReplica();
        ReplicaId id = replica.node().id();
        Path blocker = Files.createDirectories(folder.resolve("hard-state.tmp").resolve("blocked"));
        propose();
        propose();
        await(() -> !replica.isRunning());
        assertThat(replica.out()).isEqualTo(1);
        assertThat(replica.node().leaderAddress()).isEmpty();
        ExecutionException refused = assertThrows(ExecutionException.class, this::propose);
        assertThat(((ReplicationException) refused.getCause()).mayBeCommitted()).isFalse();
        replica.restartIfFailed();
        assertThat(replica.out()).isEqualTo(1);
        Files.delete(blocker);
        Files.delete(blocker.getParent());
        applied.clear();
        replica.restartIfFailed();
        assertThat(replica.out()).isEqualTo(0);
        assertThat(replica.node().id()).isEqualTo(id);
        await(() -> replica.node().holdsLease(ReplicatedNode.monotonicMillis()));
        propose();
        assertThat(applied).containsExactly(COMMAND, COMMAND, COMMAND);
        List<MemberStatus> members = replica.node().members().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        assertThat(members.stream().filter(MemberStatus::voter).map(MemberStatus::id))
                .containsExactly(id);
    }

    /** A full disk must be reported as full, and must not end the replica for good. */
    @Test
    void servesAgainAfterAFullDisk() throws Exception {
        startReplica();
        Files.createSymbolicLink(folder.resolve("hard-state.tmp"), Path.of("/dev/full"));
        propose();
        await(() -> !replica.isRunning());
        assertThat(((StorageException) replica.node().failure()).kind()).isEqualTo(StorageException.Kind.FULL);
        replica.restartIfFailed();
        assertThat(replica.isRunning()).isTrue();
        await(() -> replica.node().holdsLease(ReplicatedNode.monotonicMillis()));
        propose();
    }

    private void propose() throws Exception {
        replica.node().propose(COMMAND).get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** A thread of the failed replica that is still blocked could write to the files of the next one. */
    @Test
    void isNotRestartedWhileThreadsOfTheFailedReplicaAreBlocked() throws Exception {
        startReplica();
        blocked.set(true);
        replica.node().propose(COMMAND);
        await(() -> !applied.isEmpty());
        Path blocker = Files.createDirectories(folder.resolve("hard-state.tmp").resolve("blocked"));
        replica.node().propose(COMMAND);
        await(() -> !replica.isRunning());
        Files.delete(blocker);
        Files.delete(blocker.getParent());
        replica.restartIfFailed();
        assertThat(starts.get()).isEqualTo(1);
        assertThat(replica.out()).isEqualTo(1);
        blocked.set(false);
        await(() -> {
            replica.restartIfFailed();
            return replica.out() == 0;
        });
        assertThat(starts.get()).isEqualTo(2);
    }

    /** A replica that is being shut down must not be started again behind it. */
    @Test
    void isNotRestartedAfterAShutdown() throws Exception {
        startReplica();
        failReplica();
        diskFull.set(false);
        replica.shutdown(0);
        replica.restartIfFailed();
        assertThat(starts.get()).isEqualTo(1);
    }

    /** A replica must stay out, without opening its files, as long as its storage takes no writes. */
    @Test
    void staysOutAsLongAsItsStorageTakesNoWrites() throws Exception {
        startReplica();
        failReplica();
        diskFull.set(false);
        Path probe = folder.resolve("probe.tmp");
        Path blocker = Files.createDirectories(probe.resolve("blocked"));
        replica.restartIfFailed();
        assertThat(replica.out()).isEqualTo(1);
        assertThat(starts.get()).isEqualTo(1);
        Files.delete(blocker);
        Files.delete(probe);
        replica.restartIfFailed();
        assertThat(replica.out()).isEqualTo(0);
    }
}
