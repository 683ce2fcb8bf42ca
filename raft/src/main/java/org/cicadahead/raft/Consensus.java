package org.cicadahead.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;

/**
 * The consensus of one replica: each call takes an event and the monotonic time, changes the state and returns what is
 * to be done. Used by one thread.
 *
 * <p>At most one replica holds a valid lease: a follower refuses votes within the shortest election timeout of hearing
 * a leader or of its own start, and a lease is shorter than that. The first use is the constructor, then
 * {@link #tick(long)} every few milliseconds.
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

    /** What a replica does at present. */
    public enum Role {
        /** It follows a leader, or waits for one. */
        FOLLOWER,
        /** It asks whether it would be elected. */
        PRE_CANDIDATE,
        /** It asks for votes. */
        CANDIDATE,
        /** It leads. */
        LEADER
    }

    /**
     * Creates the consensus of a replica from what it has on disk.
     *
     * @param self its id
     * @param timing the times
     * @param promotesLearners whether a leader promotes a learner that has caught up
     * @param hardState the hard state
     * @param head what the latest snapshot covers
     * @param entries the entries after it
     * @param seed seeds the random election timeouts
     * @param nowMillis the present monotonic time in milliseconds
     * @throws IllegalArgumentException if the entries do not follow the snapshot
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
        // Before its restart the replica may have acknowledged a leader whose lease still runs.
        this.leaderContactMillis = nowMillis;
        resetElectionTimeout(nowMillis);
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do
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
     * Takes a message.
     *
     * @param message the message
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do
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
     * Takes note that the writes of outputs are synced.
     *
     * @param sequence the number of the latest output of which this holds
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do
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
     * Founds a group with this log's first entry. Only one replica of a group may do so.
     *
     * @param membership the voters
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do; refused if the log is not empty
     */
    public Output bootstrap(Membership membership, long nowMillis) {
        state.beginOutput();
        if (state.log.lastIndex() > 0 || !membership.hasVoter(state.self)) {
            return state.finishOutput().withRefusal("the log is not empty or the replica is no voter");
        }
        state.append(new LogEntry(1, 0, EntryKind.MEMBERSHIP, 0, null, null, membership));
        resetElectionTimeout(nowMillis);
        return state.finishOutput();
    }

    /**
     * Appends commands as the leader.
     *
     * @param payloads the commands
     * @param wallMillis the wall-clock time in milliseconds since the epoch
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do, with one entry for each command; refused as a whole if this is not the leader
     */
    public Output propose(List<Payload> payloads, long wallMillis, long nowMillis) {
        state.beginOutput();
        if (role != Role.LEADER) {
            return state.finishOutput().withRefusal("this replica is not the leader");
        }
        if (leadership.isTransferring()) {
            return state.finishOutput().withRefusal("the leader hands over");
        }
        for (Payload payload : payloads) {
            state.append(EntryKind.COMMAND, wallMillis, payload, null);
        }
        leadership.broadcast(nowMillis);
        return state.finishOutput();
    }

    /**
     * Changes one member as the leader, one change at a time. The leader itself is not removed; it has to hand over
     * before. For a promotion the caller checks that the learner has caught up.
     *
     * @param change the change
     * @param id the id of the member
     * @param address host and port of its peer server; used for a new member only
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do, with one entry for the change; refused with a reason
     */
    public Output change(MemberChange change, ReplicaId id, String address, long nowMillis) {
        state.beginOutput();
        Membership next = change.apply(membership(), id, address);
        String refusal;
        if (role != Role.LEADER) {
            refusal = "this replica is not the leader";
        } else if (leadership.isTransferring() || change == MemberChange.REMOVE && id.equals(state.self)) {
            refusal = "the leader has to hand over first";
        } else if (next == null) {
            refusal = "the member is not of the right kind for the change";
        } else {
            refusal = leadership.changeMembership(next, nowMillis);
        }
        return state.finishOutput().withRefusal(refusal);
    }

    /**
     * Begins to hand leadership over to the voter that has most of the log. Afterwards no command is taken, and
     * once the successor is asked the leader holds no lease.
     *
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do; refused if there is no successor
     */
    public Output transfer(long nowMillis) {
        state.beginOutput();
        String refusal = role == Role.LEADER ? leadership.transfer(nowMillis) : "this replica is not the leader";
        return state.finishOutput().withRefusal(refusal);
    }

    /**
     * Takes note that all chunks of a snapshot are stored and synced.
     *
     * @param last the last chunk
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do
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
     * Drops entries that an own snapshot covers.
     *
     * @param snapshot what the snapshot covers
     * @param keepEntries how many of the entries that it covers stay at most, for followers that are a little
     *     behind; they are also limited to the bytes that may be sent to a follower at once
     * @return the last entry that was dropped
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
     * Returns what a snapshot of the state after an entry covers.
     *
     * @param index the entry, which is applied and not yet dropped
     * @return what it covers
     */
    public SnapshotHead headAt(long index) {
        if (index <= state.log.head().index()) {
            return state.log.head();
        }
        LogEntry entry = state.log.get(index);
        return new SnapshotHead(index, entry.term(), entry.millis(), state.log.membershipAt(index));
    }

    /**
     * Returns the role.
     *
     * @return the role
     */
    public Role role() {
        return role;
    }

    /**
     * Returns the term.
     *
     * @return the term
     */
    public long term() {
        return state.term();
    }

    /**
     * Returns the leader of the term.
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
     * Returns the last entry of the log.
     *
     * @return its index
     */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /**
     * Returns the last entry that is known to be committed.
     *
     * @return its index
     */
    public long commitIndex() {
        return state.commitIndex;
    }

    /**
     * Returns the first entry of this leader's term, which has to be applied before it answers reads.
     *
     * @return its index, or the greatest number if this is not the leader
     */
    public long firstIndexOfLeader() {
        return role == Role.LEADER ? leadership.firstIndex() : Long.MAX_VALUE;
    }

    /**
     * Returns when the lease of this leader ends.
     *
     * @return the monotonic time in milliseconds; the smallest number if it holds none
     */
    public long leaseUntilMillis() {
        return role == Role.LEADER ? leadership.leaseUntil() : Long.MIN_VALUE;
    }

    /**
     * Returns the last entry that a member is known to have synced.
     *
     * @param id its id
     * @return the index; 0 if this is not the leader
     */
    public long matchIndex(ReplicaId id) {
        return role == Role.LEADER ? leadership.matchIndex(id) : 0;
    }

    /**
     * Returns whether this leader has not heard a member for the longest election timeout.
     *
     * @param id its id
     * @param nowMillis the present monotonic time in milliseconds
     * @return true if the member is silent; false if this is not the leader
     */
    public boolean isUnresponsive(ReplicaId id, long nowMillis) {
        return role == Role.LEADER && leadership.isUnresponsive(id, nowMillis);
    }

    /**
     * Returns how many elections this replica has begun.
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
            throw new IllegalStateException("There are two leaders in term " + state.term());
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
