package org.cicadahead.raft;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against unsafe elections, lost commits, overlapping leases and stale reads under random faults. */
class SimulationTest {
    private static final int SEEDS = 2_000;
    private static final long FAULT_MILLIS = 10_000;

    private final AtomicLong snapshotInstalls = new AtomicLong();
    private final AtomicLong commits = new AtomicLong();

    /** Messages are lost, delayed and duplicated, links fail, and replicas crash, freeze and transfer leadership. */
    @Test
    void lossDelayRepetitionCrashAndFreeze() {
        forSeeds(seed -> run(new Simulation(seed, 3 + (int) (seed % 2) * 2, 0), false));
        assertThat(commits.get()).isGreaterThan(SEEDS);
    }

    /** In addition, members are added and removed, replicas lose their disks, and snapshots are taken and installed. */
    @Test
    void membershipChangesEmptiedDisksAndSnapshots() {
        forSeeds(seed -> run(new Simulation(seed, 3, 2), true));
        assertThat(snapshotInstalls.get()).isGreaterThan(SEEDS);
    }

    /** Guards against a checker that accepts a read of a value that was overwritten before the read began. */
    @Test
    void checkerRejectsStaleRead() {
        RegisterHistory history = new RegisterHistory();
        history.write(1, 0).end(10);
        history.read(0, 20);
        assertThat(history.isLinearizable()).isFalse();
    }

    /** Guards against a checker that rejects a write that takes effect after the client has stopped waiting for it. */
    @Test
    void checkerAcceptsUnfinishedWrite() {
        RegisterHistory history = new RegisterHistory();
        history.write(1, 0).end(10);
        history.write(2, 5);
        history.read(1, 20);
        history.read(2, 30);
        assertThat(history.isLinearizable()).isTrue();
    }

    private void forSeeds(LongConsumer run) {
        LongStream.range(0, SEEDS).parallel().forEach(seed -> {
            try {
                run.accept(seed);
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        });
    }

    private void run(Simulation simulation, boolean changes) {
        simulation.lossRate = simulation.random.nextDouble() * 0.2;
        simulation.duplicationRate = simulation.random.nextDouble() * 0.2;
        simulation.maxDelayMillis = 5 + simulation.random.nextInt(simulation.random.nextInt(4) == 0 ? 600 : 30);
        while (simulation.now < FAULT_MILLIS) {
            simulation.run(20 + simulation.random.nextInt(60));
            simulation.propose();
            simulation.read();
            if (simulation.random.nextInt(6) == 0) {
                injectFault(simulation);
            }
            if (changes) {
                changeMembersOrDisks(simulation);
            }
        }
        recover(simulation);
        snapshotInstalls.addAndGet(simulation.invariants.snapshotInstalls());
        commits.addAndGet(simulation.invariants.committed());
        assertWithMessage("the history is linearizable")
                .that(simulation.history.isLinearizable())
                .isTrue();
    }

    private static Simulation.SimReplica anyReplica(Simulation simulation) {
        return simulation.replicas.get(simulation.random.nextInt(simulation.replicas.size()));
    }

    private static void injectFault(Simulation simulation) {
        Simulation.SimReplica one = anyReplica(simulation);
        switch (simulation.random.nextInt(7)) {
            case 0 -> {
                if (one.running) {
                    one.crash();
                }
            }
            case 1 -> simulation.blockedLinks.add(List.of(one.address, anyReplica(simulation).address));
            case 2 -> {
                for (Simulation.SimReplica other : simulation.replicas) {
                    simulation.blockedLinks.add(List.of(one.address, other.address));
                    simulation.blockedLinks.add(List.of(other.address, one.address));
                }
            }
            case 3 -> simulation.blockedLinks.clear();
            case 4 -> one.frozenUntil = simulation.now + 100 + simulation.random.nextInt(1_500);
            case 5 -> {
                if (one.isAvailable() && simulation.random.nextInt(3) == 0) {
                    one.process(one.consensus.transfer(one.clock()));
                }
            }
            default -> {
                for (Simulation.SimReplica replica : simulation.replicas) {
                    if (!replica.running) {
                        replica.start();
                    }
                }
            }
        }
    }

    private static void changeMembersOrDisks(Simulation simulation) {
        Simulation.SimReplica leader = simulation.leader();
        Simulation.SimReplica one = anyReplica(simulation);
        int choice = simulation.random.nextInt(40);
        if (choice < 3 && one.isAvailable()) {
            one.takeSnapshot(simulation.random.nextInt(10));
        }
        if (leader == null) {
            return;
        }
        Membership members = leader.consensus.membership();
        if (choice == 3) {
            // While a voter has lost its disk, the removal of another voter could leave the group without a majority.
            changeIf(simulation, leader, MemberChange.REMOVE, one.id, canLoseDisk(simulation, leader));
        } else if (choice < 8) {
            boolean isNewReplica = members.find(one.id) == null && one.running && one.consensus.lastIndex() == 0;
            changeIf(simulation, leader, MemberChange.ADD, one.id, isNewReplica);
        } else if (choice < 12) {
            removeLostReplicas(simulation, leader);
        } else if (choice == 12 && one != leader && canLoseDisk(simulation, leader)) {
            if (one.running) {
                one.crash();
            }
            one.wipe();
            one.start();
        }
    }

    private static void changeIf(
            Simulation simulation, Simulation.SimReplica leader, MemberChange change, ReplicaId id, boolean allowed) {
        if (allowed) {
            leader.process(leader.consensus.change(change, id, "" + simulation.now, leader.clock()));
        }
    }

    private static void removeLostReplicas(Simulation simulation, Simulation.SimReplica leader) {
        for (Member member : leader.consensus.membership().members()) {
            changeIf(simulation, leader, MemberChange.REMOVE, member.id(), isLost(simulation, member.id()));
        }
    }

    private static boolean isLost(Simulation simulation, ReplicaId id) {
        return simulation.replicas.stream().noneMatch(r -> r.id.equals(id));
    }

    /**
     * Returns whether a disk may be lost now. Only one disk may be lost at a time, so all voters must have their disks,
     * and the membership must be committed.
     */
    private static boolean canLoseDisk(Simulation simulation, Simulation.SimReplica leader) {
        List<ReplicaId> voters = leader.consensus.membership().voters();
        return voters.size() > 2
                && voters.stream().noneMatch(id -> isLost(simulation, id))
                && leader.consensus.commitIndex() == leader.consensus.lastIndex();
    }

    /**
     * Checks that, without faults, a leader is elected and all voters catch up. An election takes at most a few
     * timeouts.
     */
    private static void recover(Simulation simulation) {
        simulation.blockedLinks.clear();
        simulation.lossRate = 0;
        simulation.maxDelayMillis = 10;
        simulation.replicas.stream().filter(r -> !r.running).forEach(Simulation.SimReplica::start);
        simulation.run(10_000);
        Simulation.SimReplica leader = simulation.leader();
        assertWithMessage("a leader after recovery").that(leader).isNotNull();
        for (ReplicaId id : leader.consensus.membership().voters()) {
            simulation.replicas.stream()
                    .filter(r -> r.id.equals(id))
                    .forEach(r -> assertWithMessage("last applied index")
                            .that(r.applied)
                            .isEqualTo(leader.applied));
        }
    }
}
