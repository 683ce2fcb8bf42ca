package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Fault scenarios that each target one rule of the algorithm, separated by phases without faults in which a leader runs
 * under load. Purely random faults rarely occur in the short time windows in which a violated rule has a visible
 * effect.
 */
final class Scenarios {
    private static final int ROUNDS = 6;

    private final Simulation simulation;

    Scenarios(Simulation simulation) {
        this.simulation = simulation;
    }

    void run() {
        simulation.maxDelayMillis = 3 + random(20);
        simulation.duplicationRate = random(10) / 100.0;
        runWithoutFaults(2_000);
        for (int round = 0; round < ROUNDS; round++) {
            if (round == 1 && simulation.replicas.stream().anyMatch(r -> r.consensus.lastIndex() == 0)) {
                addSpareReplicas();
            }
            runWithoutFaults(200 + random(800));
            injectFault();
            repairFaults();
        }
        simulation.lossRate = 0;
        runWithoutFaults(4_000);
    }

    private void injectFault() {
        simulation.lossRate = random(3) == 0 ? 0.1 : 0;
        Simulation.SimReplica leader = simulation.leader();
        if (leader == null) {
            return;
        }
        switch (random(10)) {
            case 0 -> restartOthersWhileOneIsIsolated(leader);
            case 1 -> partition(leader, false);
            case 2 -> partition(leader, true);
            case 3, 8, 9 -> crashLeadersDuringReplication();
            case 4 -> powerLoss(leader);
            case 5 -> crashAfterVote(leader);
            case 6 -> {
                leader.frozenUntil = simulation.now + 300 + random(1_500);
                runWithoutFaults(2_000);
            }
            default -> {
                simulation.replicas.stream()
                        .filter(Simulation.SimReplica::isAvailable)
                        .forEach(r -> r.takeSnapshot(3));
                leader.process(leader.consensus.transfer(leader.clock()));
                runWithoutFaults(300);
            }
        }
    }

    /**
     * Isolates one replica from the leader until it starts an election. Then the leader is partitioned from all other
     * replicas while its lease is still valid, and the remaining replicas may restart.
     */
    private void restartOthersWhileOneIsIsolated(Simulation.SimReplica leader) {
        List<Simulation.SimReplica> others = others(leader);
        blockLink(leader, others.get(0), random(4) > 0);
        // No new entries are proposed here; otherwise the log of the isolated replica would be too old to win votes.
        simulation.run(400 + random(1_000));
        others.forEach(other -> blockLink(leader, other, true));
        if (random(2) == 0) {
            for (Simulation.SimReplica other : others.subList(1, others.size())) {
                other.crash();
                other.start();
            }
        }
        runLoad(1_500, 20);
    }

    /**
     * Partitions the leader and some other replicas from the rest. The leader may try to remove up to two members of
     * the other side.
     */
    private void partition(Simulation.SimReplica leader, boolean removesMembers) {
        List<Simulation.SimReplica> others = others(leader);
        int reachableCount = removesMembers ? 1 : random(others.size());
        for (Simulation.SimReplica unreachable : others.subList(reachableCount, others.size())) {
            blockLink(leader, unreachable, true);
            others.subList(0, reachableCount).forEach(other -> blockLink(other, unreachable, true));
        }
        runLoad(random(200), 20);
        if (removesMembers) {
            for (Simulation.SimReplica unreachable :
                    others.subList(reachableCount, Math.min(reachableCount + 2, others.size()))) {
                simulation.change(leader, MemberChange.REMOVE, unreachable.id);
            }
        }
        runLoad(2_500, 50);
    }

    /**
     * Crashes successive leaders after only some followers have received their entries, so that entries of several
     * terms conflict.
     */
    private void crashLeadersDuringReplication() {
        for (int i = 0; i < 8; i++) {
            Simulation.SimReplica leader = awaitLeader();
            if (leader != null) {
                List<Simulation.SimReplica> others = others(leader);
                int reachableCount = random(others.size());
                others.subList(reachableCount, others.size())
                        .forEach(unreachable -> blockLink(leader, unreachable, true));
                for (int n = 4 + random(12); n > 0; n--) {
                    simulation.propose();
                }
                runLoad(5 + random(60), 10);
                leader.crash();
            }
            simulation.blockedLinks.clear();
            simulation.replicas.stream().filter(r -> !r.running && r != leader).forEach(r -> r.start());
        }
    }

    /** Crashes all replicas, which lose unsynced writes. All but the leader are restarted immediately. */
    private void powerLoss(Simulation.SimReplica leader) {
        for (int n = 2 + random(8); n > 0; n--) {
            simulation.propose();
            simulation.run(1 + random(10));
        }
        simulation.replicas.stream().filter(r -> r.running).forEach(Simulation.SimReplica::crash);
        others(leader).forEach(Simulation.SimReplica::start);
        runLoad(3_000, 50);
    }

    /**
     * Crashes or freezes the leader. As soon as a successor is elected, all other replicas crash and lose unsynced
     * writes, which may include the votes for the successor. After the restart they are partitioned from it.
     */
    private void crashAfterVote(Simulation.SimReplica leader) {
        if (random(2) == 0) {
            leader.crash();
        }
        leader.frozenUntil = simulation.now + 2_000;
        Simulation.SimReplica next = awaitLeader();
        if (next != null) {
            for (Simulation.SimReplica other : others(next)) {
                blockLink(next, other, true);
                if (other.running) {
                    other.crash();
                }
                other.start();
            }
            runLoad(3_000, 50);
        }
    }

    /** Runs until a replica that is not frozen becomes the leader, with or without a lease. */
    private Simulation.SimReplica awaitLeader() {
        for (int i = 0; i < 1_500; i++) {
            simulation.run(2);
            for (Simulation.SimReplica replica : simulation.replicas) {
                if (replica.isAvailable() && replica.consensus.role() == Consensus.Role.LEADER) {
                    return replica;
                }
            }
        }
        return null;
    }

    private void addSpareReplicas() {
        for (Simulation.SimReplica replica : simulation.replicas) {
            Simulation.SimReplica leader = simulation.leader();
            if (leader != null && leader.consensus.membership().find(replica.id) == null) {
                simulation.change(leader, MemberChange.ADD, replica.id);
                runWithoutFaults(500);
            }
        }
    }

    private void repairFaults() {
        simulation.blockedLinks.clear();
        simulation.replicas.stream().filter(r -> !r.running).forEach(Simulation.SimReplica::start);
        simulation.replicas.forEach(r -> r.frozenUntil = Math.min(r.frozenUntil, simulation.now));
        runWithoutFaults(1_500);
    }

    private void runWithoutFaults(long millis) {
        runLoad(millis, 50);
    }

    private void runLoad(long millis, int interval) {
        long end = simulation.now + millis;
        while (simulation.now < end) {
            simulation.run(Math.min(end - simulation.now, 1 + random(interval)));
            simulation.propose();
            simulation.read();
        }
    }

    private void blockLink(Simulation.SimReplica one, Simulation.SimReplica other, boolean bothDirections) {
        simulation.blockedLinks.add(List.of(one.address, other.address));
        if (bothDirections) {
            simulation.blockedLinks.add(List.of(other.address, one.address));
        }
    }

    private List<Simulation.SimReplica> others(Simulation.SimReplica one) {
        List<Simulation.SimReplica> others = new ArrayList<>(simulation.replicas);
        others.remove(one);
        Collections.shuffle(others, simulation.random);
        return others;
    }

    private int random(int bound) {
        return simulation.random.nextInt(bound);
    }
}
