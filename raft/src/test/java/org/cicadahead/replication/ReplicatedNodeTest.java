package org.cicadahead.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cicadahead.protocol.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against commands that are lost, duplicated or reordered across restarts and elections. */
class ReplicatedNodeTest {
    @TempDir
    Path folder;

    @Test
    void singleReplicaKeepsItsStateOverRestarts() throws Exception {
        try (TestGroup group = new TestGroup(folder, 1).startAll()) {
            for (int i = 1; i <= 20; i++) {
                group.propose(TestGroup.set(i));
            }
            group.replicas.get(0).stop();
            group.replicas.get(0).start();
            Message before = group.propose(TestGroup.set(21));
            assertThat(before).isEqualTo(new RegisterMachine.Value(20, 20));
            assertThat(group.replicas.get(0).machine.times()).isInOrder();
        }
    }

    @Test
    void threeReplicasApplyTheSameCommands() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            List<CompletableFuture<Message>> answers = new ArrayList<>();
            ReplicatedNode leader = group.leader().node;
            for (int i = 1; i <= 1_000; i++) {
                answers.add(leader.propose(TestGroup.set(i)));
            }
            for (int i = 0; i < answers.size(); i++) {
                assertThat(answers.get(i).get(20, TimeUnit.SECONDS)).isEqualTo(new RegisterMachine.Value(i, i));
            }
            group.awaitSameState();
            // Several commands share one sync (group commit).
            assertThat(leader.counters().syncs()).isLessThan(1_000);
            assertThat(leader.members().get(5, TimeUnit.SECONDS)).hasSize(3);
        }
    }

    @Test
    void commandsSurviveTheLossOfTheLeader() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            group.propose(TestGroup.set(1));
            TestGroup.Replica first = group.leader();
            first.stop();
            assertThat(group.propose(TestGroup.set(2))).isEqualTo(new RegisterMachine.Value(1, 1));
            first.start();
            group.awaitSameState();
        }
    }

    /** Guards against a follower that accepts a command, or reports that a command it refused may be committed. */
    @Test
    void followerRefusesCommands() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            TestGroup.Replica leader = group.leader();
            for (TestGroup.Replica replica : group.replicas) {
                if (replica != leader) {
                    ExecutionException failure = assertThrows(
                            ExecutionException.class,
                            () -> replica.node.propose(TestGroup.set(1)).get(5, TimeUnit.SECONDS));
                    assertThat(((ReplicationException) failure.getCause()).mayBeCommitted())
                            .isFalse();
                    TestGroup.await(
                            "the follower knows the leader's address",
                            () -> leader.address.equals(replica.node.leaderAddress()));
                }
            }
        }
    }

    @Test
    void leadershipTransferMakesAnotherReplicaLeader() throws Exception {
        try (TestGroup group = new TestGroup(folder, 3).startAll()) {
            group.propose(TestGroup.set(1));
            TestGroup.Replica first = group.leader();
            long begin = System.nanoTime();
            first.node.transferLeadership().get(5, TimeUnit.SECONDS);
            assertThat(group.leader()).isNotSameInstanceAs(first);
            // Without a transfer, the other replicas start an election only after a timeout of at least 500 ms.
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin)).isLessThan(500);
        }
    }
}
