package org.cicadahead.raft;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Safety properties that must hold after each step of a simulation. */
final class Invariants {
    private final Simulation simulation;
    private final Map<Long, ReplicaId> leaders = new HashMap<>();
    private final TreeMap<Long, LogEntry> committed = new TreeMap<>();
    private final Map<Long, Long> digests = new HashMap<>();
    /** The term in which each entry was first seen to be committed, by index. */
    private final Map<Long, Long> commitTerms = new HashMap<>();

    private long snapshotInstalls;
    private long acknowledgedIndex;

    Invariants(Simulation simulation) {
        this.simulation = simulation;
    }

    long committed() {
        return committed.isEmpty() ? 0 : committed.lastKey();
    }

    long snapshotInstalls() {
        return snapshotInstalls;
    }

    void recordAcknowledged(LogEntry entry) {
        acknowledgedIndex = Math.max(acknowledgedIndex, entry.index());
    }

    void recordInstall() {
        snapshotInstalls++;
    }

    void afterStep(Simulation.SimReplica replica) {
        if (replica.consensus.role() == Consensus.Role.LEADER) {
            ReplicaId other = leaders.putIfAbsent(replica.consensus.term(), replica.id);
            if (other == null) {
                checkLeaderCompleteness(replica);
                checkLogMatching(replica);
            } else {
                check(other.equals(replica.id), "election safety: two leaders in a term");
            }
        }
        checkLeases();
    }

    /** State machine safety: no two replicas apply different entries at an index. */
    void checkApplied(Simulation.SimReplica replica, LogEntry entry) {
        LogEntry first = committed.putIfAbsent(entry.index(), entry);
        commitTerms.putIfAbsent(entry.index(), replica.consensus.term());
        check(first == null || first.equals(entry), "state machine safety: entries differ");
        Long digest = digests.putIfAbsent(entry.index(), replica.digest);
        check(digest == null || digest == replica.digest, "state machine safety: states differ");
    }

    void checkRestored(Simulation.SimReplica replica) {
        if (replica.applied > 0) {
            check(digests.get(replica.applied) == replica.digest, "the snapshot contains a different state");
        }
    }

    private void checkLeases() {
        Simulation.SimReplica holder = null;
        for (Simulation.SimReplica replica : simulation.replicas) {
            if (replica.hasValidLease()) {
                check(holder == null, "two replicas hold a valid lease");
                holder = replica;
                if (replica.canServeReads()) {
                    // A follower may apply an entry before the leader has synced it. The lease holder must therefore
                    // know that the entry is committed, but must have applied it only if a client was answered.
                    check(replica.consensus.commitIndex() >= committed(), "the lease holder lacks a committed entry");
                    check(replica.applied >= acknowledgedIndex, "the lease holder lacks an acknowledged command");
                }
            }
        }
    }

    private void checkLeaderCompleteness(Simulation.SimReplica leader) {
        for (LogEntry entry : committed.tailMap(leader.applied, false).values()) {
            // Delayed votes may still elect a leader of an outdated term. Such a leader needs only the entries that
            // were committed before its term.
            check(
                    commitTerms.get(entry.index()) > leader.consensus.term()
                            || entry.equals(leader.memoryLog.get(entry.index())),
                    "leader completeness: an entry is missing");
        }
    }

    /** Log matching: if two entries have the same index and term, they are equal, and so are all preceding entries. */
    private void checkLogMatching(Simulation.SimReplica one) {
        for (Simulation.SimReplica other : simulation.replicas) {
            boolean matches = false;
            for (LogEntry entry : one.memoryLog.descendingMap().values()) {
                LogEntry same = other.memoryLog.get(entry.index());
                if (same == null) {
                    continue;
                }
                matches |= same.term() == entry.term();
                check(!matches || same.equals(entry), "log matching: entries before equal entries differ");
            }
        }
    }

    private void check(boolean holds, String property) {
        if (!holds) {
            throw new AssertionError(property + " at " + simulation.now + " ms");
        }
    }
}
