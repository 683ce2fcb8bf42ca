package org.cicadahead.replication;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadahead.raft.RegisterHistory;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.storage.StorageException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against lost commands and stale reads when replicas are partitioned, lose their data, are replaced or run out
 * of disk space.
 */
class ReplicatedNodeFaultTest {
    private static final long LARGE = 1 << 24;

    @TempDir
    Path folder;

    /**
     * Guards against a follower that can never catch up: while it was stopped, the leader took a snapshot and discarded
     * the entries that the follower lacks.
     */
    @Test
    void laggingReplicaReceivesSnapshot() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3)) {
            for (TestGroup.Replica replica : group.replicas) {
                replica.start(4_000, 50, 5);
            }
            TestGroup.Replica follower = follower(group);
            follower.stop();
            for (int i = 1; i <= 400; i++) {
                group.propose(TestGroup.set(i));
            }
            TestGroup.await(
                    "a snapshot is taken", () -> group.leader().node.counters().snapshotIndex() > 100);
            follower.start(4_000, 1_000_000, 5);
            group.awaitSameState();
            assertThat(follower.node.counters().snapshotIndex()).isGreaterThan(100L);
            follower.stop();
            follower.start(4_000, 50, 5);
            group.awaitSameState();
        }
    }

    /**
     * Guards against a replica that bootstraps a second group after it has lost its data. It bootstrapped the first
     * group and is still configured to do so.
     */
    @Test
    void emptiedBootstrapReplicaJoinsAsNewMember() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            group.propose(TestGroup.set(1));
            group.awaitSameState();
            TestGroup.Replica bootstrapReplica = group.replicas.stream()
                    .min(Comparator.comparing(r -> r.address))
                    .orElseThrow();
            ReplicaId before = bootstrapReplica.node.id();
            bootstrapReplica.stop();
            bootstrapReplica.wipe();
            bootstrapReplica.start();
            ReplicaId after = bootstrapReplica.node.id();
            assertThat(after).isNotEqualTo(before);
            TestGroup.await("the new replica is a voter", () -> isVoter(group, after));
            assertThat(members(group)).hasSize(3);
            assertThat(members(group).stream().map(MemberStatus::id).toList()).doesNotContain(before);
            assertThat(group.propose(TestGroup.set(2))).isEqualTo(new RegisterMachine.Value(1, 1));
            group.awaitSameState();
        }
    }

    /**
     * Guards against a replica that keeps running after its files were deleted. Open files stay usable, so it would
     * acknowledge entries that are lost when it restarts.
     */
    @Test
    void replicaStopsWhenItsFolderIsEmptied() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            group.propose(TestGroup.set(1));
            group.awaitSameState();
            TestGroup.Replica follower = follower(group);
            ReplicatedNode node = follower.node;
            follower.wipe();
            TestGroup.await("the replica stops", () -> node.failure() != null);
            assertThat(node.failure()).hasMessageThat().contains("emptied or replaced");
            group.propose(TestGroup.set(2));
        }
    }

    /** Guards against callers that wait forever for an event that is posted after the consensus thread has ended. */
    @Test
    void answersFailWhenReplicaStops() throws Exception {
        List<CompletableFuture<?>> answers = new ArrayList<>();
        try (TestGroup group = new TestGroup(folder, 1).startAll()) {
            ReplicatedNode node = group.leader().node;
            CompletableFuture<Void> stop = CompletableFuture.runAsync(group.replicas.get(0)::stop);
            while (!stop.isDone()) {
                answers.add(node.members());
                answers.add(node.removeMember(node.id()));
            }
            stop.get(20, TimeUnit.SECONDS);
            answers.add(node.members());
        }
        assertThat(answers.stream().allMatch(CompletableFuture::isDone)).isTrue();
        assertThat(answers.get(answers.size() - 1).isCompletedExceptionally()).isTrue();
    }

    /** Guards against a new replica that never becomes a voter, and against a member that cannot be removed. */
    @Test
    void memberIsAddedPromotedAndRemoved() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            group.propose(TestGroup.set(1));
            TestGroup.Replica fourth = group.newReplica();
            fourth.start();
            TestGroup.await("the fourth replica is a voter", () -> isVoter(group, fourth.node.id()));
            group.awaitSameState();
            ReplicaId removed = fourth.node.id();
            if (group.leader() == fourth) {
                fourth.node.transferLeadership().get(5, TimeUnit.SECONDS);
            }
            // The promotion takes effect before it is committed, but another change is accepted only after it is
            // committed.
            TestGroup.await("the fourth replica is removed", () -> isRemoved(group, removed));
            assertThat(members(group)).hasSize(3);
            fourth.stop();
            group.propose(TestGroup.set(2));
        }
    }

    /** Guards against stale reads on a leader that is partitioned from the other replicas. */
    @Test
    void isolatedLeaderLosesItsLease() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            TestGroup.Replica first = group.leader();
            first.partitioned = true;
            TestGroup.await("the lease ends", () -> !first.node.holdsLease(ReplicatedNode.monotonicMillis()));
            assertThat(group.leader()).isNotSameInstanceAs(first);
            group.propose(TestGroup.set(1));
            first.partitioned = false;
            group.awaitSameState();
        }
    }

    /** Guards against lost commands when the leader's disk is full: another replica must become the leader. */
    @Test
    void fullDiskStopsReplicaAndLosesNothing() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3)) {
            for (TestGroup.Replica replica : group.replicas) {
                replica.start(4_000, 1_000_000, 5);
            }
            TestGroup.Replica first = group.leader();
            // Makes all further log files of the leader unwritable.
            for (int i = 5; i < 200; i++) {
                Files.createSymbolicLink(first.data.resolve(String.format("log-%020d.seg", i)), Path.of("/dev/full"));
            }
            long committedCount = 0;
            for (int i = 1; i <= 200; i++) {
                group.propose(TestGroup.set(i));
                committedCount++;
            }
            assertThat(((StorageException) first.node.failure()).kind()).isEqualTo(StorageException.Kind.FULL);
            assertThat(first.node.holdsLease(ReplicatedNode.monotonicMillis())).isFalse();
            assertThat(group.leader().machine.count()).isAtLeast(committedCount);
            first.stop();
            first.start(4_000, 1_000_000, 5);
            group.awaitSameState();
        }
    }

    /** Guards against stale reads and lost writes while the leader is repeatedly stopped or partitioned. */
    @Test
    void historyIsLinearizable() throws Exception {
        RegisterHistory history = new RegisterHistory();
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            group.leader();
            AtomicBoolean ended = new AtomicBoolean();
            AtomicLong values = new AtomicLong();
            List<CompletableFuture<Void>> clients = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                clients.add(CompletableFuture.runAsync(() -> client(group, history, values, ended)));
            }
            for (int i = 0; i < 4; i++) {
                TestGroup.Replica leader = group.leader();
                long target = values.get() + 20;
                TestGroup.await("20 more commands are proposed", () -> values.get() >= target);
                if (i % 2 == 0) {
                    leader.stop();
                    group.leader();
                    leader.start();
                } else {
                    leader.partitioned = true;
                    TestGroup.await("another replica leads", () -> group.leader() != leader);
                    leader.partitioned = false;
                }
            }
            ended.set(true);
            for (CompletableFuture<Void> client : clients) {
                client.get(30, TimeUnit.SECONDS);
            }
            group.awaitSameState();
        }
        assertThat(history.size()).isGreaterThan(80);
        assertThat(history.isLinearizable()).isTrue();
    }

    /** Guards against replies that differ from those of a single replica when the leader changes. */
    @Test
    void matchesInMemoryLog() throws Exception {
        InMemoryLog expected = new InMemoryLog(new RegisterMachine());
        Random random = new Random(7);
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            for (int i = 1; i <= 120; i++) {
                if (i % 40 == 0) {
                    TestGroup.Replica leader = group.leader();
                    leader.stop();
                    group.leader();
                    leader.start();
                }
                boolean write = random.nextBoolean();
                assertThat(group.propose(write ? TestGroup.set(i) : new RegisterMachine.ReadValue()))
                        .isEqualTo(expected.propose(write ? TestGroup.set(i) : new RegisterMachine.ReadValue())
                                .get());
            }
        }
    }

    private static void client(TestGroup group, RegisterHistory history, AtomicLong values, AtomicBoolean ended) {
        while (!ended.get()) {
            for (TestGroup.Replica replica : group.replicas) {
                ReplicatedNode node = replica.node;
                if (node != null) {
                    long begin = System.nanoTime();
                    // The lease must be checked before the read: a value that was read before the replica had its lease
                    // may be stale.
                    boolean leads = node.holdsLease(ReplicatedNode.monotonicMillis());
                    long value = replica.machine.value();
                    if (leads && node == replica.node && node.holdsLease(ReplicatedNode.monotonicMillis())) {
                        history.read(value, begin, System.nanoTime());
                        write(node, history, values.incrementAndGet());
                    }
                }
            }
        }
    }

    private static void write(ReplicatedNode node, RegisterHistory history, long value) {
        RegisterHistory.Operation operation = history.write(value, System.nanoTime());
        try {
            node.propose(TestGroup.set(value)).get(3, TimeUnit.SECONDS);
            operation.end(System.nanoTime());
        } catch (ExecutionException | TimeoutException e) {
            // The write remains unfinished in the history, because it may or may not take effect.
            assertThat(e).isNotNull();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static TestGroup.Replica follower(TestGroup group) {
        TestGroup.Replica leader = group.leader();
        return group.replicas.stream().filter(r -> r != leader).findFirst().orElseThrow();
    }

    private static boolean isVoter(TestGroup group, ReplicaId id) {
        return members(group).stream().anyMatch(m -> m.id().equals(id) && m.voter());
    }

    private static boolean isRemoved(TestGroup group, ReplicaId id) {
        try {
            group.leader().node.removeMember(id).get(5, TimeUnit.SECONDS);
            return true;
        } catch (ExecutionException e) {
            return false;
        } catch (TimeoutException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static List<MemberStatus> members(TestGroup group) {
        try {
            return group.leader().node.members().get(5, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
