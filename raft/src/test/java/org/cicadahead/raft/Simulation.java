package org.cicadahead.raft;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A deterministic simulation of several replicas with simulated disks, clocks and a network that loses, delays,
 * duplicates and reorders messages. The same seed always gives the same run. {@link Invariants} checks each step.
 */
final class Simulation {
    static final Timing TIMING = new Timing(100, 500, 1_000, 400, 300, 1_500);
    private static final int TICK_MILLIS = 20;

    final Random random;
    final List<SimReplica> replicas = new ArrayList<>();
    final Invariants invariants = new Invariants(this);
    final RegisterHistory history = new RegisterHistory();
    /** Pairs of sender and receiver addresses between which all messages are lost. */
    final Set<List<Integer>> blockedLinks = new HashSet<>();

    Mutant mutant = Mutant.NONE;
    boolean promotesLearners = true;
    double lossRate;
    double duplicationRate;
    int maxDelayMillis = 30;
    long now;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long eventCount;
    private int idCount;
    private long nextValue;

    private record Event(long at, long order, SimReplica replica, int incarnation, Runnable body)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    Simulation(long seed, int voters, int spares) {
        random = new Random(seed);
        for (int i = 0; i < voters + spares; i++) {
            replicas.add(new SimReplica(this, i));
        }
        Membership first = Membership.NONE;
        for (SimReplica replica : replicas) {
            replica.start();
            if (replica.address < voters) {
                first = first.with(new Member(replica.id, "" + replica.address, true));
            }
        }
        replicas.get(0)
                .process(replicas.get(0)
                        .consensus
                        .bootstrap(first, replicas.get(0).clock()));
    }

    ReplicaId newId() {
        return ReplicaId.of(String.format("%032x", ++idCount));
    }

    void schedule(long delayMillis, SimReplica replica, Runnable body) {
        int incarnation = replica == null ? 0 : replica.incarnation;
        events.add(new Event(now + delayMillis, ++eventCount, replica, incarnation, body));
    }

    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            SimReplica replica = event.replica;
            if (replica == null) {
                event.body.run();
            } else if (replica.running && replica.incarnation == event.incarnation) {
                if (replica.frozenUntil > now) {
                    events.add(new Event(replica.frozenUntil, event.order, replica, event.incarnation, event.body));
                } else {
                    event.body.run();
                }
            }
        }
        now = end;
    }

    void tick(SimReplica replica) {
        replica.process(replica.consensus.tick(replica.clock()));
        schedule(TICK_MILLIS, replica, () -> tick(replica));
    }

    void send(RaftMessage message, int from) {
        int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < duplicationRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            for (SimReplica target : replicas) {
                if (target.id.equals(message.to()) && !blockedLinks.contains(List.of(from, target.address))) {
                    schedule(
                            1 + random.nextInt(maxDelayMillis),
                            target,
                            () -> target.process(target.consensus.receive(
                                    mutant.received(message, target.consensus), target.clock())));
                }
            }
        }
    }

    void propose() {
        SimReplica replica = replicas.get(random.nextInt(replicas.size()));
        if (!replica.isAvailable() || replica.consensus.role() != Consensus.Role.LEADER) {
            return;
        }
        long value = ++nextValue;
        byte[] data = ByteBuffer.allocate(Long.BYTES).putLong(value).array();
        Output output = replica.consensus.propose(List.of(new Payload("v", data)), now, replica.clock());
        if (output.refusal() == null) {
            LogEntry entry = output.newEntries().get(0);
            replica.pending.put(entry.index(), history.write(value, now));
        }
        replica.process(output);
    }

    void read() {
        for (SimReplica replica : replicas) {
            if (replica.isAvailable() && replica.canServeReads()) {
                history.read(replica.value, now);
            }
        }
    }

    void change(SimReplica leader, MemberChange change, ReplicaId id) {
        if (leader.isAvailable()) {
            leader.process(mutant.change(leader.consensus, change, id, "" + now, leader.clock()));
        }
    }

    SimReplica leader() {
        for (SimReplica replica : replicas) {
            if (replica.isAvailable() && replica.canServeReads()) {
                return replica;
            }
        }
        return null;
    }

    /** A simulated replica with its disk, state machine and consensus. */
    static final class SimReplica {
        final int address;
        ReplicaId id;
        boolean running;
        long frozenUntil;
        int incarnation;
        Consensus consensus;
        /** The in-memory log of the replica, reconstructed from the outputs of consensus. */
        final TreeMap<Long, LogEntry> memoryLog = new TreeMap<>();

        final Map<Long, RegisterHistory.Operation> pending = new TreeMap<>();
        long applied;
        long digest;
        long value;

        private final Simulation simulation;
        private final double clockRate;
        private final long clockOffset;
        private final TreeMap<Long, LogEntry> disk = new TreeMap<>();
        private final List<Output> unsynced = new ArrayList<>();
        private HardState hardState = HardState.INITIAL;
        private SnapshotHead head = SnapshotHead.NONE;
        private byte[] snapshot = {};
        private SnapshotHead incoming;
        private ByteBuffer received = ByteBuffer.allocate(0);
        private boolean syncScheduled;

        SimReplica(Simulation simulation, int address) {
            this.simulation = simulation;
            this.address = address;
            this.id = simulation.newId();
            // A lease of 400 ms ends well before the 500 ms for which votes are refused, so the algorithm tolerates
            // clock rates that differ by a few percent.
            this.clockRate = 1 + (simulation.random.nextDouble() - 0.5) * 0.04;
            this.clockOffset = simulation.random.nextInt(1_000_000);
        }

        long clock() {
            return (long) (simulation.now * clockRate) + clockOffset;
        }

        boolean isAvailable() {
            return running && frozenUntil <= simulation.now;
        }

        boolean hasValidLease() {
            return running && clock() < simulation.mutant.leaseUntil(consensus);
        }

        boolean canServeReads() {
            return hasValidLease() && applied >= consensus.firstIndexOfLeader();
        }

        void start() {
            incarnation++;
            running = true;
            dropConflictingEntries();
            memoryLog.clear();
            memoryLog.putAll(disk);
            restore();
            consensus = new Consensus(
                    id,
                    TIMING,
                    simulation.promotesLearners,
                    hardState,
                    head,
                    List.copyOf(disk.tailMap(head.index(), false).values()),
                    simulation.random.nextLong(),
                    simulation.mutant.startMillis(clock()));
            simulation.schedule(0, this, () -> simulation.tick(this));
        }

        /**
         * Discards entries that do not continue the snapshot. As in the real store, this happens at recovery and not
         * when the snapshot arrives.
         */
        private void dropConflictingEntries() {
            LogEntry same = disk.get(head.index());
            boolean continues = disk.isEmpty()
                    || (same == null
                            ? disk.firstKey() == head.index() + 1
                            : head.index() == 0 || same.term() == head.term());
            if (!continues) {
                disk.clear();
            }
        }

        /** Crashes the replica. A random prefix of the unacknowledged writes survives on the disk. */
        void crash() {
            int survive = unsynced.isEmpty() ? 0 : simulation.random.nextInt(unsynced.size() + 1);
            unsynced.subList(0, survive).forEach(this::writeToDisk);
            unsynced.clear();
            syncScheduled = false;
            running = false;
            frozenUntil = 0;
            incoming = null;
            pending.clear();
        }

        void wipe() {
            disk.clear();
            hardState = HardState.INITIAL;
            head = SnapshotHead.NONE;
            snapshot = new byte[0];
            id = simulation.newId();
        }

        void takeSnapshot(long keepEntries) {
            SnapshotHead next = consensus.headAt(applied);
            if (next.index() == applied && applied > head.index()) {
                head = next;
                snapshot = state();
                consensus.compact(next, keepEntries);
            }
        }

        void process(Output output) {
            List<RaftMessage> sentBeforeSync = output.messagesAfterSync().stream()
                    .filter(simulation.mutant::isSentBeforeSync)
                    .toList();
            sentBeforeSync.forEach(message -> simulation.send(message, address));
            output.messagesAfterSync().removeAll(sentBeforeSync);
            simulation.mutant.afterStep(consensus);
            if (output.installedSnapshot() != null) {
                memoryLog.clear();
                restore();
                simulation.invariants.recordInstall();
            }
            if (output.truncateFrom() > 0) {
                memoryLog.tailMap(output.truncateFrom(), true).clear();
            }
            output.newEntries().forEach(entry -> memoryLog.put(entry.index(), entry));
            if (consensus.role() != Consensus.Role.LEADER) {
                pending.clear();
            }
            simulation.invariants.afterStep(this);
            if (output.hasWrites()
                    || output.installedSnapshot() != null
                    || output.snapshotChunk() != null
                    || !output.messagesAfterSync().isEmpty()) {
                unsynced.add(output);
                if (!syncScheduled) {
                    syncScheduled = true;
                    simulation.schedule(1 + simulation.random.nextInt(15), this, this::sync);
                }
            }
            output.messages().forEach(message -> simulation.send(message, address));
            output.committed().forEach(this::apply);
            output.chunkSends().forEach(this::sendChunk);
        }

        private void sync() {
            syncScheduled = false;
            List<Output> batch = new ArrayList<>(unsynced);
            unsynced.clear();
            batch.forEach(this::writeToDisk);
            batch.forEach(output -> output.messagesAfterSync().forEach(m -> simulation.send(m, address)));
            long sequence = batch.get(batch.size() - 1).sequence();
            simulation.schedule(
                    simulation.random.nextInt(5), this, () -> process(consensus.persisted(sequence, clock())));
            for (Output output : batch) {
                if (output.snapshotChunk() != null) {
                    store(output.snapshotChunk());
                }
            }
        }

        private void writeToDisk(Output output) {
            if (output.hardState() != null) {
                hardState = output.hardState();
            }
            if (output.installedSnapshot() != null) {
                disk.clear();
            }
            if (output.truncateFrom() > 0) {
                disk.tailMap(output.truncateFrom(), true).clear();
            }
            output.newEntries().forEach(entry -> disk.put(entry.index(), entry));
        }

        private void apply(LogEntry entry) {
            if (entry.kind() == EntryKind.COMMAND) {
                value = ByteBuffer.wrap(entry.data()).getLong();
            }
            applied = entry.index();
            digest = digest * 31 + entry.term() * 7 + value;
            simulation.invariants.checkApplied(this, entry);
            RegisterHistory.Operation operation = pending.remove(entry.index());
            if (operation != null) {
                operation.end(simulation.now);
                simulation.invariants.recordAcknowledged(entry);
            }
        }

        private byte[] state() {
            return ByteBuffer.allocate(3 * Long.BYTES)
                    .putLong(applied)
                    .putLong(digest)
                    .putLong(value)
                    .array();
        }

        private void restore() {
            ByteBuffer state = ByteBuffer.wrap(snapshot);
            applied = head.index() == 0 ? 0 : state.getLong();
            digest = head.index() == 0 ? 0 : state.getLong();
            value = head.index() == 0 ? 0 : state.getLong();
            simulation.invariants.checkRestored(this);
        }

        private void sendChunk(Output.ChunkSend send) {
            if (send.head().index() == head.index()) {
                int offset = (int) send.offset();
                int length = Math.max(0, Math.min(Long.BYTES, snapshot.length - offset));
                byte[] data = new byte[length];
                System.arraycopy(snapshot, Math.min(offset, snapshot.length), data, 0, length);
                simulation.send(
                        new RaftSnapshot(
                                id,
                                send.to(),
                                send.term(),
                                head,
                                offset,
                                data,
                                offset + length == snapshot.length,
                                send.sentMillis()),
                        address);
            }
        }

        private void store(RaftSnapshot chunk) {
            if (!chunk.head().equals(incoming)) {
                incoming = chunk.head();
                received = ByteBuffer.allocate(3 * Long.BYTES);
            }
            if (chunk.offset() == received.position()) {
                received.put(chunk.data());
                if (chunk.last()) {
                    incoming = null;
                    if (chunk.head().index() > head.index()) {
                        head = chunk.head();
                        snapshot = received.array();
                    }
                    simulation.schedule(1, this, () -> process(consensus.snapshotInstalled(chunk, clock())));
                    return;
                }
            }
            simulation.send(
                    new RaftSnapshotReply(
                            id,
                            chunk.from(),
                            chunk.term(),
                            chunk.head().index(),
                            received.position(),
                            false,
                            chunk.sentMillis()),
                    address);
        }
    }
}
