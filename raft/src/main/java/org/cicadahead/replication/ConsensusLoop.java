package org.cicadahead.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cicadahead.protocol.Message;
import org.cicadahead.raft.Consensus;
import org.cicadahead.raft.LogEntry;
import org.cicadahead.raft.Member;
import org.cicadahead.raft.MemberChange;
import org.cicadahead.raft.Membership;
import org.cicadahead.raft.Output;
import org.cicadahead.raft.Payload;
import org.cicadahead.raft.RaftMessage;
import org.cicadahead.raft.ReplicaId;
import org.jboss.logging.Logger;

/** Runs consensus on a single thread: feeds it events and passes its outputs to the other components. */
final class ConsensusLoop implements Runnable {
    /** Short compared with the heartbeat interval of 90 to 100 ms; each tick costs a thread wake-up. */
    private static final long TICK_MILLIS = 20;
    /** Messages beyond this queue length are dropped; consensus recovers from lost messages. */
    private static final int MAX_EVENTS = 20_000;
    /** Limits the size of one batch of proposals, and thereby the size of the buffer for one write to the log. */
    private static final long MAX_BATCH_BYTES = 4L * 1024 * 1024;

    /**
     * Interval at which a leader checks whether members must be removed; a fraction of the time after which a member
     * counts as unresponsive.
     */
    private static final long MEMBERSHIP_CHECK_MILLIS = 250;

    private static final Logger LOG = Logger.getLogger("cicadahead.raft");

    private final Consensus consensus;
    private final Discovery discovery;
    private final Transport transport;
    private final PendingProposals pendingProposals;
    private final Sink sink;
    private final int targetVoters;
    private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<Proposal> proposals = new ConcurrentLinkedQueue<>();
    private final List<CompletableFuture<Void>> transferWaiters = new ArrayList<>();
    private volatile Status status;
    /** The addresses of replicas that must leave the group. */
    private volatile Set<String> leaving = Set.of();

    private volatile boolean stopped;
    private long membershipCheckDue = Long.MIN_VALUE;
    private long leadingSinceMillis;
    private boolean wasLeader;

    /** Performs the actions that consensus requests. Implementations must not block. */
    interface Sink {
        void write(Output output);

        void apply(Output output);

        void sendChunk(Output.ChunkSend chunk);

        void failed(Exception cause);
    }

    /** A snapshot of the consensus state for other threads. Immutable. */
    record Status(
            Consensus.Role role,
            long term,
            ReplicaId leader,
            long leaseUntilMillis,
            long firstIndexOfLeader,
            long commitIndex,
            long lastIndex,
            long elections,
            Membership membership,
            long leadingSinceMillis) {}

    private record Proposal(Payload payload, CompletableFuture<Message> answer) {}

    ConsensusLoop(
            Consensus consensus,
            Discovery discovery,
            Transport transport,
            PendingProposals pendingProposals,
            Sink sink,
            int targetVoters) {
        this.targetVoters = targetVoters;
        this.consensus = consensus;
        this.discovery = discovery;
        this.transport = transport;
        this.pendingProposals = pendingProposals;
        this.sink = sink;
        publishStatus();
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public void run() {
        long tickDue = nowMillis();
        try {
            while (!stopped) {
                Runnable event = events.poll(Math.max(0, tickDue - nowMillis()), TimeUnit.MILLISECONDS);
                if (event != null) {
                    event.run();
                }
                if (nowMillis() >= tickDue) {
                    tickDue = nowMillis() + TICK_MILLIS;
                    tick();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            sink.failed(e);
        } finally {
            for (Proposal next = proposals.poll(); next != null; next = proposals.poll()) {
                reject(next.answer, "the replica is stopped");
            }
        }
    }

    Status status() {
        return status;
    }

    void stop() {
        stopped = true;
        events.add(() -> {});
    }

    void received(RaftMessage message) {
        if (events.size() < MAX_EVENTS) {
            events.add(() -> process(consensus.receive(message, nowMillis())));
        }
    }

    void synced(long sequence) {
        events.add(() -> process(consensus.persisted(sequence, nowMillis())));
    }

    /** Queues an event to be run on the consensus thread. */
    void post(Consumer<Consensus> event) {
        events.add(() -> event.accept(consensus));
    }

    void propose(Payload payload, CompletableFuture<Message> answer) {
        proposals.add(new Proposal(payload, answer));
        events.add(this::proposeBatch);
    }

    void change(MemberChange change, ReplicaId id, String address, CompletableFuture<Message> answer) {
        events.add(() -> {
            if (change == MemberChange.PROMOTE && consensus.matchIndex(id) < consensus.commitIndex()) {
                reject(answer, "the learner has not caught up");
                return;
            }
            Output output = consensus.change(change, id, address, nowMillis());
            if (output.refusal() == null) {
                pendingProposals.add(output.newEntries().get(0), answer);
            } else {
                reject(answer, output.refusal());
            }
            process(output);
        });
    }

    /**
     * Sets the addresses at which replicas may be found, and the addresses of replicas that must leave the group and
     * may not join it.
     */
    void updateAddresses(Set<String> contacts, Set<String> leavingAddresses) {
        discovery.setContacts(contacts);
        leaving = Set.copyOf(leavingAddresses);
    }

    /**
     * Handles the request of a non-member to join. Each request causes at most one membership change; the replica
     * repeats its request until it is a member. A replica with a non-empty log may join only a group that has a target
     * number of voters, so that a replica that was removed while it was unreachable can rejoin if it is needed.
     */
    void join(ReplicaId id, String address, boolean emptyLog) {
        events.add(() -> {
            long now = nowMillis();
            if (consensus.role() != Consensus.Role.LEADER
                    || consensus.membership().find(id) != null
                    || !emptyLog && targetVoters == 0
                    || leaving.contains(address)) {
                return;
            }
            for (Member member : consensus.membership().members()) {
                if (member.address().equals(address)) {
                    // The previous replica at this address lost its data folder, so it is removed unless it still
                    // responds.
                    if (consensus.isUnresponsive(member.id(), now)) {
                        changeForJoin(MemberChange.REMOVE, member.id(), address, now);
                    }
                    return;
                }
            }
            if (targetVoters == 0 || countHealthy(now) < targetVoters) {
                changeForJoin(MemberChange.ADD, id, address, now);
            }
        });
    }

    /** Returns the number of members that respond and are not leaving. */
    private long countHealthy(long now) {
        return consensus.membership().members().stream()
                .filter(member -> isHealthy(member, now))
                .count();
    }

    private boolean isHealthy(Member member, long now) {
        return !leaving.contains(member.address()) && !consensus.isUnresponsive(member.id(), now);
    }

    /** Removes one member that is unresponsive or leaving, once enough other voters respond. */
    private void maintainMembership(long now) {
        if (targetVoters == 0 || consensus.role() != Consensus.Role.LEADER || now < membershipCheckDue) {
            return;
        }
        membershipCheckDue = now + MEMBERSHIP_CHECK_MILLIS;
        List<Member> members = consensus.membership().members();
        long healthyVoters = members.stream()
                .filter(member -> member.voter() && isHealthy(member, now))
                .count();
        for (Member member : members) {
            if (isHealthy(member, now) || member.voter() && healthyVoters < targetVoters) {
                continue;
            }
            boolean isLeader = member.id().equals(consensus.leader());
            LOG.infof(
                    "raft: %s %s at %s",
                    isLeader ? "Transferring leadership before removing" : "Removing", member.id(), member.address());
            process(
                    isLeader
                            ? consensus.transfer(now)
                            : consensus.change(MemberChange.REMOVE, member.id(), member.address(), now));
            return;
        }
    }

    private void changeForJoin(MemberChange change, ReplicaId id, String address, long now) {
        Output output = consensus.change(change, id, address, now);
        if (output.refusal() == null) {
            LOG.infof("raft: Join request from %s: %s %s", address, change, id);
        }
        process(output);
    }

    /**
     * Starts a leadership transfer. The result completes when this replica is no longer the leader, or at once if the
     * transfer is refused.
     */
    CompletableFuture<Void> transferLeadership() {
        CompletableFuture<Void> transferEnded = new CompletableFuture<>();
        events.add(() -> {
            transferWaiters.add(transferEnded);
            Output output = consensus.transfer(nowMillis());
            if (consensus.role() != Consensus.Role.LEADER || output.refusal() != null) {
                completeTransfers();
            }
            process(output);
        });
        return transferEnded;
    }

    /** Publishes the new status and passes the actions of an output to the components that perform them. */
    void process(Output output) {
        publishStatus();
        if (!wasLeader && status.role() == Consensus.Role.LEADER) {
            leadingSinceMillis = nowMillis();
            publishStatus();
            LOG.infof("raft: This replica leads in term %d", status.term());
        }
        if (wasLeader && status.role() != Consensus.Role.LEADER) {
            LOG.infof("raft: This replica is no longer the leader; the current term is %d", status.term());
            pendingProposals.failAll("this replica is no longer the leader");
            completeTransfers();
        }
        wasLeader = status.role() == Consensus.Role.LEADER;
        if (output.hasWrites()
                || output.installedSnapshot() != null
                || output.snapshotChunk() != null
                || !output.messagesAfterSync().isEmpty()) {
            sink.write(output);
        }
        output.messages().forEach(transport::send);
        if (output.installedSnapshot() != null || !output.committed().isEmpty()) {
            sink.apply(output);
        }
        output.chunkSends().forEach(sink::sendChunk);
    }

    private void completeTransfers() {
        transferWaiters.forEach(transferEnded -> transferEnded.complete(null));
        transferWaiters.clear();
    }

    private static void reject(CompletableFuture<Message> answer, String reason) {
        answer.completeExceptionally(new ReplicationException(false, reason, null));
    }

    private void tick() {
        long now = nowMillis();
        process(consensus.tick(now));
        maintainMembership(now);
        boolean emptyLog = consensus.lastIndex() == 0;
        discovery.tick(now, emptyLog, consensus.membership());
        Membership initialMembership = emptyLog ? discovery.initialMembership() : null;
        if (initialMembership != null) {
            process(consensus.bootstrap(initialMembership, now));
        }
    }

    private void proposeBatch() {
        List<Proposal> batch = new ArrayList<>();
        long bytes = 0;
        while (bytes < MAX_BATCH_BYTES && !proposals.isEmpty()) {
            Proposal next = proposals.poll();
            bytes += next.payload.data().length;
            batch.add(next);
        }
        if (batch.isEmpty()) {
            return;
        }
        Output output = consensus.propose(
                batch.stream().map(Proposal::payload).toList(), System.currentTimeMillis(), nowMillis());
        if (output.refusal() != null) {
            batch.forEach(proposal -> reject(proposal.answer, output.refusal()));
        } else {
            List<LogEntry> entries = output.newEntries();
            for (int i = 0; i < batch.size(); i++) {
                pendingProposals.add(entries.get(i), batch.get(i).answer);
            }
        }
        process(output);
    }

    /**
     * Publishes the status for other threads. This must happen before any message of the output is sent, so that other
     * threads see the end of a lease before a message can cause another replica to become the leader.
     */
    private void publishStatus() {
        Membership membership = consensus.membership();
        if (status == null || status.membership() != membership) {
            transport.recordAddresses(membership);
        }
        status = new Status(
                consensus.role(),
                consensus.term(),
                consensus.leader(),
                consensus.leaseUntilMillis(),
                consensus.firstIndexOfLeader(),
                consensus.commitIndex(),
                consensus.lastIndex(),
                consensus.elections(),
                membership,
                leadingSinceMillis);
    }
}
