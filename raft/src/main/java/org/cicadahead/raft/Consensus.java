package org.cicadahead.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;

/**
 * The Raft state machine of one replica. Each call takes an event and the current monotonic time, updates the state and
 * returns the actions that the caller has to perform. Not thread-safe: all calls must come from one thread.
 *
 * <p>At most one replica holds a valid lease, because a follower refuses to vote until the shortest election timeout
 * has passed since its last message from a leader or since its own start, and a lease is shorter than this timeout.
 * After construction, the caller invokes {@link #tick(long)} every few milliseconds.
 */
public final class Consensus {
    final ReplicaState state;
    Leadership leadership;
    private final Follower follower;
    private final Random random;
    private final boolean promotesLearners;
    private final Set<ReplicaId> grantedVotes = new HashSet<>();
    private Role role = Role.FOLLOWER;
    private ReplicaId leader;
    private long leaderContactMillis;
    private long electionDeadline;
    private long elections;

    /** The current role of a replica. */
    public enum Role {
        /** The replica follows a leader or waits for one. */
        FOLLOWER,
        /** The replica runs a pre-vote to find out whether it could win an election. */
        PRE_CANDIDATE,
        /** The replica requests votes. */
        CANDIDATE,
        /** The replica is the leader of the term. */
        LEADER
    }

    /**
     * Creates the consensus of a replica from its persisted state.
     *
     * @param self the id of this replica
     * @param timing the timeouts and size limits
     * @param promotesLearners whether this replica, as the leader, promotes a learner that has caught up
     * @param hardState the persisted term and vote
     * @param head the last entry and the membership that the latest snapshot covers
     * @param entries the log entries after the snapshot
     * @param seed the seed for the random election timeouts
     * @param nowMillis the current monotonic time in milliseconds
     * @throws IllegalArgumentException if the entries do not directly follow the snapshot
     */
    public Consensus(
            ReplicaId self,
            Timing timing,
            boolean promotesLearners,
            HardState hardState,
            SnapshotHead head,
            List<LogEntry> entries,
            long seed,
            long nowMillis) {
        Objects.requireNonNull(self, "The replica id must not be null");
        this.state = new ReplicaState(self, timing, hardState, new EntryLog(head, entries));
        this.follower = new Follower(state);
        this.promotesLearners = promotesLearners;
        this.random = new Random(seed);
        // Before a restart, this replica may have acknowledged a leader whose lease is still valid.
        this.leaderContactMillis = nowMillis;
        resetElectionTimeout(nowMillis);
    }

    /**
     * Processes the passing of time: sends due heartbeats, starts an election or steps down.
     *
     * @param nowMillis the current monotonic time in milliseconds
     * @return the actions to perform
     */
    public Output tick(long nowMillis) {
        state.beginOutput();
        if (role == Role.LEADER) {
            if (!leadership.tick(nowMillis)) {
                becomeFollower(state.term(), null, nowMillis);
            }
        } else if (nowMillis >= electionDeadline) {
            startElection(true, false, nowMillis);
        }
        return state.finishOutput();
    }

    /**
     * Processes a message from another replica.
     *
     * @param message the message
     * @param nowMillis the current monotonic time in milliseconds
     * @return the actions to perform
     */
    public Output receive(RaftMessage message, long nowMillis) {
        state.beginOutput();
        if (message.to().equals(state.self)) {
            if (message instanceof RaftVote vote) {
                handleVote(vote, nowMillis);
            } else if (message instanceof RaftVoteReply reply && reply.preVote() && reply.granted()) {
                handlePreVoteGrant(reply, nowMillis);
            } else {
                if (message.term() > state.term()) {
                    becomeFollower(message.term(), null, nowMillis);
                }
                receiveInTerm(message, nowMillis);
            }
        }
        return state.finishOutput();
    }

    /**
     * Records that the writes of all outputs up to a sequence number are synced.
     *
     * @param sequence the sequence number of the last output whose writes are synced
     * @param nowMillis the current monotonic time in milliseconds
     * @return the actions to perform
     */
    public Output persisted(long sequence, long nowMillis) {
        state.beginOutput();
        state.persisted(sequence);
        if (role == Role.CANDIDATE && state.syncedTerm() == state.term()) {
            grantedVotes.add(state.self);
            countVotes(nowMillis);
        } else if (role == Role.LEADER) {
            leadership.advanceCommit();
        }
        return state.finishOutput();
    }

    /**
     * Bootstraps a group by appending the initial membership as the first log entry. Only one replica of a group may do
     * this.
     *
     * @param membership the initial voters
     * @param nowMillis the current monotonic time in milliseconds
     * @return the actions to perform; refused if the log is not empty or this replica is not a voter
     */
    public Output bootstrap(Membership membership, long nowMillis) {
        state.beginOutput();
        if (state.log.lastIndex() > 0 || !membership.hasVoter(state.self)) {
            return state.finishOutput().withRefusal("the log is not empty or the replica is not a voter");
        }
        state.append(new LogEntry(1, 0, EntryKind.MEMBERSHIP, 0, null, null, membership));
        resetElectionTimeout(nowMillis);
        return state.finishOutput();
    }

    /**
     * Appends commands to the log of the leader and replicates them.
     *
     * @param payloads the commands
     * @param wallMillis the wall-clock time in milliseconds since the epoch
     * @param nowMillis the current monotonic time in milliseconds
     * @return the actions to perform, with one entry for each command; no command is accepted if this replica is not
     *     the leader or is transferring leadership
     */
    public Output propose(List<Payload> payloads, long wallMillis, long nowMillis) {
        state.beginOutput();
        if (role != Role.LEADER) {
            return state.finishOutput().withRefusal("this replica is not the leader");
        }
        if (leadership.isTransferring()) {
            return state.finishOutput().withRefusal("the leader is transferring leadership");
        }
        for (Payload payload : payloads) {
            state.append(EntryKind.COMMAND, wallMillis, payload, null);
        }
        leadership.broadcast(nowMillis);
        return state.finishOutput();
    }

    /**
     * Starts a membership change as the leader. Only one change may be in progress at a time. A leader cannot remove
     * itself; it must transfer leadership first. Before a promotion, the caller must check that the learner has caught
     * up.
     *
     * @param change the change
     * @param id the id of the member
     * @param address host and port of the member's peer server; used only when a member is added
     * @param nowMillis the current monotonic time in milliseconds
     * @return the actions to perform, with one entry for the change, or the reason for a refusal
     */
    public Output change(MemberChange change, ReplicaId id, String address, long nowMillis) {
        state.beginOutput();
        Membership next = change.apply(membership(), id, address);
        String refusal;
        if (role != Role.LEADER) {
            refusal = "this replica is not the leader";
        } else if (leadership.isTransferring() || change == MemberChange.REMOVE && id.equals(state.self)) {
            refusal = "the leader must transfer leadership first";
        } else if (next == null) {
            refusal = "the change does not apply to the current state of the member";
        } else {
            refusal = leadership.changeMembership(next, nowMillis);
        }
        return state.finishOutput().withRefusal(refusal);
    }

    /**
     * Starts a leadership transfer to the reachable voter with the highest match index. No commands are accepted during
     * the transfer, and the leader gives up its lease when it asks the successor to take over.
     *
     * @param nowMillis the current monotonic time in milliseconds
     * @return the actions to perform; refused if there is no successor
     */
    public Output transfer(long nowMillis) {
        state.beginOutput();
        String refusal = role == Role.LEADER ? leadership.transfer(nowMillis) : "this replica is not the leader";
        return state.finishOutput().withRefusal(refusal);
    }

    /**
     * Installs a received snapshot after all of its chunks are stored and synced.
     *
     * @param last the last chunk of the snapshot
     * @param nowMillis the current monotonic time in milliseconds
     * @return the actions to perform
     */
    public Output snapshotInstalled(RaftSnapshot last, long nowMillis) {
        state.beginOutput();
        state.install(last.head());
        resetElectionTimeout(nowMillis);
        if (last.term() == state.term()) {
            follower.confirmSnapshot(last);
        }
        return state.finishOutput();
    }

    /**
     * Discards log entries that a snapshot of this replica covers.
     *
     * @param snapshot the head of the snapshot
     * @param keepEntries the maximum number of covered entries to keep for followers that lag slightly behind; the kept
     *     entries are also limited to the bytes that may be in flight to one follower
     * @return the last entry that was discarded
     */
    public SnapshotHead compact(SnapshotHead snapshot, long keepEntries) {
        if (snapshot.index() > state.snapshot.index() && snapshot.index() <= state.emittedIndex) {
            state.snapshot = snapshot;
            state.log.startAfter(
                    headAt(state.log.compactionIndex(snapshot.index(), keepEntries, state.timing.windowBytes())));
        }
        return state.log.head();
    }

    /**
     * Returns the head of a snapshot that is taken after an entry is applied.
     *
     * @param index the index of an applied entry
     * @return the head of the snapshot; if the entry was already discarded from the log, the head of the log instead
     */
    public SnapshotHead headAt(long index) {
        if (index <= state.log.head().index()) {
            return state.log.head();
        }
        LogEntry entry = state.log.get(index);
        return new SnapshotHead(index, entry.term(), entry.millis(), state.log.membershipAt(index));
    }

    /**
     * Returns the current role.
     *
     * @return the role
     */
    public Role role() {
        return role;
    }

    /**
     * Returns the current term.
     *
     * @return the term
     */
    public long term() {
        return state.term();
    }

    /**
     * Returns the leader of the current term.
     *
     * @return its id, or null if it is not known
     */
    public ReplicaId leader() {
        return leader;
    }

    /**
     * Returns the latest membership in the log.
     *
     * @return the membership
     */
    public Membership membership() {
        return state.log.membership();
    }

    /**
     * Returns the index of the last entry of the log.
     *
     * @return its index
     */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /**
     * Returns the index of the last entry that is known to be committed.
     *
     * @return its index
     */
    public long commitIndex() {
        return state.commitIndex;
    }

    /**
     * Returns the index of the first entry of this leader's term. The leader must apply this entry before it serves
     * reads.
     *
     * @return its index, or {@link Long#MAX_VALUE} if this replica is not the leader
     */
    public long firstIndexOfLeader() {
        return role == Role.LEADER ? leadership.firstIndex() : Long.MAX_VALUE;
    }

    /**
     * Returns the time at which the lease of this leader expires.
     *
     * @return the monotonic time in milliseconds, or {@link Long#MIN_VALUE} if this replica holds no lease
     */
    public long leaseUntilMillis() {
        return role == Role.LEADER ? leadership.leaseUntil() : Long.MIN_VALUE;
    }

    /**
     * Returns the index of the last entry that a member is known to have synced.
     *
     * @param id the id of the member
     * @return the index, or 0 if this replica is not the leader or there is no such member
     */
    public long matchIndex(ReplicaId id) {
        return role == Role.LEADER ? leadership.matchIndex(id) : 0;
    }

    /**
     * Returns whether this leader has received no reply from a member for longer than the longest election timeout.
     *
     * @param id the id of the member
     * @param nowMillis the current monotonic time in milliseconds
     * @return true if the member is unresponsive; false if this replica is not the leader
     */
    public boolean isUnresponsive(ReplicaId id, long nowMillis) {
        return role == Role.LEADER && leadership.isUnresponsive(id, nowMillis);
    }

    /**
     * Returns the number of elections that this replica has started.
     *
     * @return the number
     */
    public long elections() {
        return elections;
    }

    private void receiveInTerm(RaftMessage message, long nowMillis) {
        if (message.term() < state.term()) {
            if (message instanceof RaftAppend append) {
                follower.rejectStaleTerm(append);
            } else if (message instanceof RaftSnapshot chunk) {
                follower.rejectStaleTerm(chunk);
            }
        } else if (message instanceof RaftAppend append) {
            acceptLeader(append.from(), nowMillis);
            follower.appendEntries(append);
        } else if (message instanceof RaftSnapshot chunk) {
            acceptLeader(chunk.from(), nowMillis);
            follower.receiveChunk(chunk);
        } else if (message instanceof RaftVoteReply reply) {
            if (role == Role.CANDIDATE && !reply.preVote() && reply.granted()) {
                grantedVotes.add(reply.from());
                countVotes(nowMillis);
            }
        } else if (message instanceof RaftAppendReply reply && role == Role.LEADER) {
            leadership.handleReply(reply, nowMillis);
        } else if (message instanceof RaftSnapshotReply reply && role == Role.LEADER) {
            leadership.handleReply(reply, nowMillis);
        } else if (message instanceof RaftTransfer && role != Role.LEADER) {
            startElection(false, true, nowMillis);
        }
    }

    private void handleVote(RaftVote vote, long nowMillis) {
        boolean hasRecentLeader =
                role == Role.LEADER || nowMillis - leaderContactMillis < state.timing.electionMinMillis();
        if (hasRecentLeader && !vote.transfer()) {
            return;
        }
        if (!vote.preVote() && vote.term() > state.term()) {
            becomeFollower(vote.term(), null, nowMillis);
        }
        boolean logIsUpToDate = vote.lastTerm() > state.log.lastTerm()
                || vote.lastTerm() == state.log.lastTerm() && vote.lastIndex() >= state.log.lastIndex();
        boolean granted;
        if (vote.preVote()) {
            granted = logIsUpToDate && vote.term() > state.term();
        } else {
            boolean voteIsAvailable = state.vote() == null || state.vote().equals(vote.from());
            granted = logIsUpToDate && vote.term() == state.term() && voteIsAvailable;
            if (granted) {
                if (state.vote() == null) {
                    state.updateHardState(new HardState(state.term(), vote.from()));
                }
                resetElectionTimeout(nowMillis);
            }
        }
        state.output
                .messagesAfterSync()
                .add(new RaftVoteReply(
                        state.self, vote.from(), granted ? vote.term() : state.term(), vote.preVote(), granted));
    }

    private void handlePreVoteGrant(RaftVoteReply reply, long nowMillis) {
        if (role == Role.PRE_CANDIDATE && reply.term() == state.term() + 1) {
            grantedVotes.add(reply.from());
            if (membership().hasMajority(grantedVotes::contains)) {
                startElection(false, false, nowMillis);
            }
        }
    }

    private void startElection(boolean preVote, boolean transfer, long nowMillis) {
        resetElectionTimeout(nowMillis);
        if (!membership().hasVoter(state.self)) {
            return;
        }
        leader = null;
        grantedVotes.clear();
        long term = state.term() + 1;
        if (preVote) {
            role = Role.PRE_CANDIDATE;
            grantedVotes.add(state.self);
        } else {
            role = Role.CANDIDATE;
            elections++;
            state.updateHardState(new HardState(term, state.self));
        }
        for (ReplicaId id : membership().voters()) {
            if (!id.equals(state.self)) {
                state.output
                        .messagesAfterSync()
                        .add(new RaftVote(
                                state.self, id, term, state.log.lastIndex(), state.log.lastTerm(), preVote, transfer));
            }
        }
        if (preVote && membership().hasMajority(grantedVotes::contains)) {
            startElection(false, false, nowMillis);
        }
    }

    private void countVotes(long nowMillis) {
        if (membership().hasMajority(grantedVotes::contains)) {
            role = Role.LEADER;
            leader = state.self;
            leadership = new Leadership(state, promotesLearners, nowMillis);
        }
    }

    private void becomeFollower(long term, ReplicaId newLeader, long nowMillis) {
        if (term > state.term()) {
            state.updateHardState(new HardState(term, null));
        }
        if (role == Role.LEADER) {
            resetElectionTimeout(nowMillis);
        }
        role = Role.FOLLOWER;
        leadership = null;
        leader = newLeader;
    }

    private void acceptLeader(ReplicaId from, long nowMillis) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("Received a message from a second leader in term " + state.term());
        }
        becomeFollower(state.term(), from, nowMillis);
        leaderContactMillis = nowMillis;
        resetElectionTimeout(nowMillis);
    }

    private void resetElectionTimeout(long nowMillis) {
        long spread = state.timing.electionMaxMillis() - state.timing.electionMinMillis();
        electionDeadline = nowMillis + state.timing.electionMinMillis() + (long) (random.nextDouble() * spread);
    }
}
