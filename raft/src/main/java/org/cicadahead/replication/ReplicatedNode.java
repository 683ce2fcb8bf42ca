package org.cicadahead.replication;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadahead.node.DaemonThreads;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.raft.Consensus;
import org.cicadahead.raft.MemberChange;
import org.cicadahead.raft.Output;
import org.cicadahead.raft.Payload;
import org.cicadahead.raft.RaftAppend;
import org.cicadahead.raft.RaftAppendReply;
import org.cicadahead.raft.RaftMessage;
import org.cicadahead.raft.RaftSnapshot;
import org.cicadahead.raft.RaftSnapshotReply;
import org.cicadahead.raft.RaftTransfer;
import org.cicadahead.raft.RaftVote;
import org.cicadahead.raft.RaftVoteReply;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.raft.SnapshotHead;
import org.cicadahead.storage.ReplicaFolder;
import org.cicadahead.storage.StorageException;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.PeerHandler;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * A replica of the replicated log, with its consensus, files, connections and threads. Thread-safe.
 *
 * <p>The owner of the peer server calls {@link #handles(Message)} for each message and passes the replica's messages to
 * this handler. Both must use a catalog from {@link #catalog(MessageCatalog)}. Use {@link #start} to create a replica.
 *
 * <p>The futures of {@link #propose} are completed by the thread that applies commands, so dependent stages must not
 * block. The replica stops when a file cannot be written, for example because the disk is full, or when the state
 * machine fails. It then neither leads, votes nor acknowledges entries until it is restarted, and {@link #failure()}
 * returns the cause.
 */
public final class ReplicatedNode implements ReplicatedLog, PeerHandler, Closeable {
    /** Maximum size of a command, in bytes, so that it fits into one message between replicas. */
    public static final int MAX_COMMAND_BYTES = 12 * 1024 * 1024;

    private static final Logger LOG = Logger.getLogger("cicadahead.raft");
    /** Proposals beyond this total size are rejected, so that they do not exhaust the memory if the disk is slow. */
    private static final long MAX_PENDING_PROPOSAL_BYTES = 128L * 1024 * 1024;

    /** Estimated memory of a pending proposal without its data. */
    private static final int PROPOSAL_OVERHEAD_BYTES = 512;

    private static final long THREAD_JOIN_MILLIS = 5_000;

    private final ReplicationConfig config;
    private final ReplicaFolder folder;
    private final Transport transport;
    private final PendingProposals pendingProposals = new PendingProposals();
    private final PendingAnswers pendingAnswers = new PendingAnswers();
    private final LogWriter writer;
    private final Applier applier;
    private final ConsensusLoop loop;
    private final Snapshotter snapshotter;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong pendingProposalBytes = new AtomicLong();
    private final AtomicReference<Exception> failure = new AtomicReference<>();
    private volatile boolean closed;

    private ReplicatedNode(
            ReplicationConfig config, ReplicaFolder folder, StateMachine machine, MessageCatalog catalog) {
        this.config = config;
        this.folder = folder;
        this.transport = new Transport(catalog);
        this.snapshotter = new Snapshotter(folder.id(), folder.snapshots(), transport);
        this.writer = new LogWriter(folder, new WriterListener());
        this.applier =
                new Applier(machine, catalog, folder.snapshots(), pendingProposals, config, new ApplierListener());
        Consensus consensus = new Consensus(
                folder.id(),
                config.timing(),
                true,
                folder.log().hardState(),
                folder.snapshots().latest(),
                folder.log().takeRecovered(),
                folder.id().hashCode() ^ System.nanoTime(),
                ConsensusLoop.nowMillis());
        Discovery discovery = new Discovery(config, folder.id(), transport);
        this.loop = new ConsensusLoop(
                consensus,
                discovery,
                transport,
                pendingProposals,
                new OutputSink(writer, applier, snapshotter, this::fail),
                config.targetVoters());
    }

    /**
     * Returns a catalog that adds the messages between replicas to another catalog.
     *
     * @param base the catalog with the other messages
     * @return the combined catalog
     */
    public static MessageCatalog catalog(MessageCatalog base) {
        return base.with(List.of(
                RaftAppend.class,
                RaftAppendReply.class,
                RaftHello.class,
                RaftHelloReply.class,
                RaftSnapshot.class,
                RaftSnapshotReply.class,
                RaftTransfer.class,
                RaftVote.class,
                RaftVoteReply.class));
    }

    /**
     * Starts a replica: recovers its files, restores the latest snapshot and starts its threads.
     *
     * @param config the settings
     * @param machine the state machine
     * @param catalog the message types, from {@link #catalog(MessageCatalog)}; must include all commands
     * @return the replica
     * @throws ReplicationException if the files are corrupt or cannot be read
     */
    public static ReplicatedNode start(ReplicationConfig config, StateMachine machine, MessageCatalog catalog)
            throws ReplicationException {
        Objects.requireNonNull(machine, "The state machine must not be null");
        ReplicaFolder folder = null;
        try {
            folder = ReplicaFolder.open(config.folder(), config.segmentBytes());
            ReplicatedNode node = new ReplicatedNode(config, folder, machine, catalog);
            node.applier.restoreLatest();
            node.startThreads();
            return node;
        } catch (StorageException | RuntimeException e) {
            if (folder != null) {
                folder.close();
            }
            throw new ReplicationException(false, "the replica cannot start: " + e.getMessage(), e);
        }
    }

    /**
     * Returns whether a message is addressed to the replica.
     *
     * @param message a message that a peer server received
     * @return true if the message must be passed to {@link #handle}
     */
    public static boolean handles(Message message) {
        return message instanceof RaftMessage || message instanceof RaftHello;
    }

    @Override
    public void handle(Message request, Responder responder) throws WireException {
        if (closed || failure.get() != null) {
            throw new WireException(WireException.Kind.REMOTE, "the replica is stopped");
        }
        if (request instanceof RaftHello hello) {
            transport.recordAddress(hello.id(), hello.address());
            responder.reply(new RaftHelloReply(folder.id(), loop.status().lastIndex() > 0));
            loop.join(hello.id(), hello.address(), hello.joining());
        } else if (request instanceof RaftMessage message) {
            loop.received(message);
        } else {
            throw new WireException(WireException.Kind.REMOTE, "unexpected message " + request.getClass());
        }
    }

    @Override
    public CompletableFuture<Message> propose(Command command) {
        byte[] data;
        try {
            data = Codec.pack(command);
        } catch (WireException e) {
            return rejected("the command cannot be encoded");
        }
        if (data.length > MAX_COMMAND_BYTES) {
            return rejected("the command is too large");
        }
        if (!isLeader()) {
            return rejected("this replica is not the leader");
        }
        long bytes = data.length + PROPOSAL_OVERHEAD_BYTES;
        if (pendingProposalBytes.addAndGet(bytes) > MAX_PENDING_PROPOSAL_BYTES) {
            pendingProposalBytes.addAndGet(-bytes);
            return rejected("too many commands are pending");
        }
        CompletableFuture<Message> answer = new CompletableFuture<>();
        answer.whenComplete((reply, cause) -> pendingProposalBytes.addAndGet(-bytes));
        loop.propose(new Payload(command.getClass().getSimpleName(), data), answer);
        if (!isRunning()) {
            answer.completeExceptionally(new ReplicationException(true, "the replica is stopped", failure.get()));
        }
        return answer;
    }

    @Override
    public boolean holdsLease(long nowMillis) {
        ConsensusLoop.Status status = loop.status();
        return isRunning() && nowMillis < status.leaseUntilMillis() && applier.applied() >= status.firstIndexOfLeader();
    }

    /**
     * Returns the current monotonic time, for use with {@link #holdsLease(long)}.
     *
     * @return the time in milliseconds
     */
    public static long monotonicMillis() {
        return ConsensusLoop.nowMillis();
    }

    @Override
    public long term() {
        return loop.status().term();
    }

    /**
     * Returns the time at which this replica became the leader of the current term.
     *
     * @return the monotonic time in milliseconds; valid only on the leader
     */
    public long leadingSinceMillis() {
        return loop.status().leadingSinceMillis();
    }

    @Override
    public String leaderAddress() {
        ReplicaId leader = isRunning() ? loop.status().leader() : null;
        return folder.id().equals(leader) ? config.address() : transport.address(leader);
    }

    /**
     * Returns whether this replica is the leader. It may serve reads only if {@link #holdsLease(long)} returns true.
     *
     * @return true if it is the leader
     */
    public boolean isLeader() {
        return isRunning() && loop.status().role() == Consensus.Role.LEADER;
    }

    /**
     * Returns the id of this replica.
     *
     * @return the id
     */
    public ReplicaId id() {
        return folder.id();
    }

    /**
     * Returns the members of the group. Only the leader knows the replication progress of the others.
     *
     * @return the members; fails with a {@link ReplicationException} if the replica stops
     */
    public CompletableFuture<List<MemberStatus>> members() {
        CompletableFuture<List<MemberStatus>> answer = new CompletableFuture<>();
        loop.post(consensus -> answer.complete(consensus.membership().members().stream()
                .map(member -> new MemberStatus(
                        member.id(),
                        member.address(),
                        member.voter(),
                        member.id().equals(consensus.leader()),
                        consensus.matchIndex(member.id())))
                .toList()));
        return pendingAnswers.add(answer);
    }

    /**
     * Adds the replica at an address as a learner. The leader promotes it to a voter when it has caught up.
     *
     * @param address host and port of its peer server
     * @return completes when the change is committed; fails with a {@link ReplicationException}
     */
    public CompletableFuture<Void> addMember(String address) {
        return transport
                .hello(address, new RaftHello(folder.id(), config.address(), false))
                .handle((reply, cause) -> cause == null
                        ? change(MemberChange.ADD, reply.id(), address)
                        : CompletableFuture.<Void>failedFuture(
                                new ReplicationException(false, "no replica responds at " + address, cause)))
                .thenCompose(result -> result);
    }

    /**
     * Removes a member. The leader cannot be removed; it must transfer leadership first.
     *
     * @param id the id of the member
     * @return completes when the change is committed; fails with a {@link ReplicationException}
     */
    public CompletableFuture<Void> removeMember(ReplicaId id) {
        return change(MemberChange.REMOVE, id, "");
    }

    /**
     * Promotes a learner that has caught up to a voter.
     *
     * @param id the id of the member
     * @return completes when the change is committed; fails with a {@link ReplicationException}
     */
    public CompletableFuture<Void> promoteMember(ReplicaId id) {
        return change(MemberChange.PROMOTE, id, "");
    }

    /**
     * Sets the addresses at which other replicas may be found, and the addresses of replicas that must leave the group.
     * If the group has a target number of voters, the leader removes these replicas once enough other voters respond,
     * and does not let them rejoin.
     *
     * @param contacts the addresses (host and port) of the peer servers of other replicas
     * @param leaving the addresses (host and port) of the peer servers of the leaving replicas
     */
    public void updateAddresses(Set<String> contacts, Set<String> leaving) {
        loop.updateAddresses(contacts, leaving);
    }

    /**
     * Transfers leadership to another voter if this replica is the leader.
     *
     * @return completes when this replica is no longer the leader, or at once if the transfer is refused
     */
    public CompletableFuture<Void> transferLeadership() {
        return isLeader() ? loop.transferLeadership() : CompletableFuture.completedFuture(null);
    }

    /**
     * Transfers leadership and stops the replica.
     *
     * @param timeoutMillis the maximum time to wait for a successor, in milliseconds
     */
    public void shutdown(long timeoutMillis) {
        try {
            transferLeadership().get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warnf("raft: No successor took over leadership within %d ms", timeoutMillis);
        }
        close();
    }

    /** Stops the replica without a leadership transfer. Pending proposals fail. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.stop();
        writer.stop();
        applier.stop();
        transport.close();
        try {
            for (Thread thread : threads) {
                thread.join(THREAD_JOIN_MILLIS);
            }
            snapshotter.stop(THREAD_JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        pendingProposals.failAll("the replica was stopped");
        pendingAnswers.close(null);
        folder.close();
    }

    /** Returns whether the replica is closed and its threads have ended, so that nothing of it uses its files. */
    boolean isTerminated() {
        return closed && threads.stream().noneMatch(Thread::isAlive) && snapshotter.isTerminated();
    }

    /**
     * Returns the failure that stopped the replica.
     *
     * @return the cause, or null if the replica has not failed
     */
    public Exception failure() {
        return failure.get();
    }

    /**
     * Returns the current values of the counters.
     *
     * @return the counters
     */
    public ReplicationCounters counters() {
        ConsensusLoop.Status status = loop.status();
        return new ReplicationCounters(
                status.term(),
                status.lastIndex(),
                status.commitIndex(),
                applier.applied(),
                folder.snapshots().latest().index(),
                writer.syncs(),
                writer.syncNanos(),
                status.elections());
    }

    private static CompletableFuture<Message> rejected(String reason) {
        return CompletableFuture.failedFuture(new ReplicationException(false, reason, null));
    }

    private boolean isRunning() {
        return !closed && failure.get() == null;
    }

    private void startThreads() {
        threads.add(DaemonThreads.named("raft-writer").newThread(writer));
        threads.add(DaemonThreads.named("raft-apply").newThread(applier));
        threads.add(DaemonThreads.named("raft-consensus").newThread(loop));
        threads.forEach(Thread::start);
    }

    private CompletableFuture<Void> change(MemberChange change, ReplicaId id, String address) {
        CompletableFuture<Message> answer = pendingAnswers.add(new CompletableFuture<>());
        loop.change(change, id, address, answer);
        return answer.thenApply(none -> null);
    }

    private void fail(Exception cause) {
        if (failure.compareAndSet(null, cause)) {
            LOG.errorf(cause, "raft: The replica has failed and stops: %s", cause.getMessage());
            loop.stop();
            writer.stop();
            applier.stop();
            transport.close();
            pendingProposals.failAll("the replica has failed: " + cause.getMessage());
            pendingAnswers.close(cause);
        }
    }

    private final class WriterListener implements LogWriter.Listener {

        @Override
        public void synced(long sequence, List<Output> outputs) {
            outputs.forEach(output -> output.messagesAfterSync().forEach(transport::send));
            loop.synced(sequence);
        }

        @Override
        public void chunkStored(RaftSnapshot chunk, long nextOffset) {
            if (nextOffset < 0) {
                loop.post(consensus -> loop.process(consensus.snapshotInstalled(chunk, ConsensusLoop.nowMillis())));
            } else {
                transport.send(new RaftSnapshotReply(
                        folder.id(),
                        chunk.from(),
                        chunk.term(),
                        chunk.head().index(),
                        nextOffset,
                        false,
                        chunk.sentMillis()));
            }
        }

        @Override
        public void failed(StorageException cause) {
            fail(cause);
        }
    }

    private final class ApplierListener implements Applier.Listener {

        @Override
        public long term() {
            return loop.status().term();
        }

        @Override
        public void snapshotPrepared(long index, StateSnapshot snapshot) {
            loop.post(consensus -> {
                SnapshotHead head = consensus.headAt(index);
                if (head.index() == index) {
                    snapshotter.write(head, snapshot, this::stored, applier::snapshotDone);
                } else {
                    snapshotter.discard(snapshot);
                    applier.snapshotDone();
                }
            });
        }

        @Override
        public void failed(Exception cause) {
            fail(cause);
        }

        private void stored(SnapshotHead head) {
            loop.post(consensus ->
                    writer.compact(consensus.compact(head, config.keepEntries()).index()));
        }
    }
}
