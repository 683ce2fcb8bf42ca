package org.cicadahead.replication;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cicadahead.raft.ReplicaId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against groups that lose voters, grow without bound or lose commands while VMs and their disks are replaced.
 */
class GroupMaintenanceTest {
    private static final int VOTERS = 3;
    private static final long TIMEOUT_SECONDS = 5;

    @TempDir
    Path folder;

    private TestGroup group() throws Exception {
        TestGroup group = new TestGroup(folder, VOTERS);
        group.targetVoters = VOTERS;
        group.startAll();
        group.propose(TestGroup.set(1));
        return group;
    }

    private static List<MemberStatus> members(TestGroup group) {
        try {
            return group.leader().node.members().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            return List.of();
        }
    }

    private static Set<String> voters(TestGroup group) {
        return members(group).stream()
                .filter(MemberStatus::voter)
                .map(MemberStatus::address)
                .collect(Collectors.toSet());
    }

    private static Set<String> addresses(List<TestGroup.Replica> replicas) {
        return replicas.stream().map(replica -> replica.address).collect(Collectors.toSet());
    }

    /**
     * Guards against a lost voter that is never replaced, and against a group that grows when the lost voter returns.
     */
    @Test
    void spareReplacesLostVoter() throws Exception {
        try (TestGroup group = group()) {
            TestGroup.Replica spare = group.newReplica();
            spare.start();
            TimeUnit.SECONDS.sleep(2);
            assertThat(voters(group)).doesNotContain(spare.address);
            TestGroup.Replica leader = group.leader();
            TestGroup.Replica lost = group.replicas.stream()
                    .filter(replica -> replica != leader && replica != spare)
                    .findFirst()
                    .orElseThrow();
            lost.stop();
            List<TestGroup.Replica> remaining =
                    group.replicas.stream().filter(replica -> replica != lost).toList();
            TestGroup.await(
                    "the spare replaces the lost voter", () -> voters(group).equals(addresses(remaining)));
            group.propose(TestGroup.set(2));
            lost.start();
            TimeUnit.SECONDS.sleep(2);
            assertThat(voters(group)).isEqualTo(addresses(remaining));
            assertThat(members(group)).hasSize(VOTERS);
        }
    }

    /** Guards against a leaving replica that is removed before its successor has a copy of the data. */
    @Test
    void leavingReplicaIsRemovedAfterSuccessorJoined() throws Exception {
        try (TestGroup group = group()) {
            TestGroup.Replica leaving = group.leader();
            Set<String> leavingAddresses = Set.of(leaving.address);
            group.replicas.forEach(replica -> replica.node.updateAddresses(Set.of(), leavingAddresses));
            TimeUnit.SECONDS.sleep(1);
            assertThat(voters(group)).contains(leaving.address);
            TestGroup.Replica successor = group.newReplica();
            successor.start();
            successor.node.updateAddresses(Set.of(), leavingAddresses);
            List<TestGroup.Replica> remaining = group.replicas.stream()
                    .filter(replica -> replica != leaving)
                    .toList();
            TestGroup.await(
                    "the leaving replica is removed", () -> voters(group).equals(addresses(remaining)));
            group.propose(TestGroup.set(3));
            leaving.stop();
            group.awaitSameState();
        }
    }

    /** Guards against a replica that can never rejoin after it was removed while it was unreachable. */
    @Test
    void removedReplicaRejoinsWhenNeeded() throws Exception {
        try (TestGroup group = group()) {
            TestGroup.Replica leader = group.leader();
            TestGroup.Replica returning = group.replicas.stream()
                    .filter(replica -> replica != leader)
                    .findFirst()
                    .orElseThrow();
            ReplicaId id = returning.node.id();
            returning.stop();
            TestGroup.Replica spare = group.newReplica();
            spare.start();
            TestGroup.await(
                    "the stopped replica is removed",
                    () -> members(group).stream()
                            .noneMatch(member -> member.id().equals(id)));
            group.propose(TestGroup.set(4));
            spare.stop();
            returning.start();
            TestGroup.await(
                    "the removed replica rejoins the group", () -> voters(group).contains(returning.address));
            group.awaitSameState();
        }
    }
}
