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
    private final Set<ReplicaId> votes = new HashSet<>();
    private Role role = Role.FOLLOWER;
    private ReplicaId leader;
    private long heardMillis;
    private long electionDue;
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
     * @param hard the hard state
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
            HardState hard,
            SnapshotHead head,
            List<LogEntry> entries,
            long seed,
            long nowMillis) {
        Objects.requireNonNull(self, "The replica id must not be null");
        this.state = new ReplicaState(self, timing, hard, new EntryLog(head, entries));
        this.follower = new Follower(state);
        this.promotesLearners = promotesLearners;
        this.random = new Random(seed);
        // Before its restart the replica may have acknowledged a leader whose lease still runs.
        this.heardMillis = nowMillis;
        delayElection(nowMillis);
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do
     */
    public Output tick(long nowMillis) {
        state.begin();
        if (role == Role.LEADER) {
            if (!leadership.tick(nowMillis)) {
                follow(state.term(), null, nowMillis);
            }
        } else if (nowMillis >= electionDue) {
            campaign(true, false, nowMillis);
        }
        return state.finish();
    }

    /**
     * Takes a message.
     *
     * @param message the message
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do
     */
    public Output receive(RaftMessage message, long nowMillis) {
        state.begin();
        if (message.to().equals(state.self)) {
            if (message instanceof RaftVote vote) {
                vote(vote, nowMillis);
            } else if (message instanceof RaftVoteReply reply && reply.preVote() && reply.granted()) {
                preVoteGranted(reply, nowMillis);
            } else {
                if (message.term() > state.term()) {
                    follow(message.term(), null, nowMillis);
                }
                receiveInTerm(message, nowMillis);
            }
        }
        return state.finish();
    }

    /**
     * Takes note that the writes of outputs are synced.
     *
     * @param sequence the number of the latest output of which this holds
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do
     */
    public Output persisted(long sequence, long nowMillis) {
        state.begin();
        state.persisted(sequence);
        if (role == Role.CANDIDATE && state.syncedTerm() == state.term()) {
            votes.add(state.self);
            countVotes(nowMillis);
        } else if (role == Role.LEADER) {
            leadership.advanceCommit();
        }
        return state.finish();
    }

    /**
     * Founds a group with this log's first entry. Only one replica of a group may do so.
     *
     * @param membership the voters
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do; refused if the log is not empty
     */
    public Output bootstrap(Membership membership, long nowMillis) {
        state.begin();
        if (state.log.lastIndex() > 0 || !membership.hasVoter(state.self)) {
            return state.finish().refuse("the log is not empty or the replica is no voter");
        }
        state.append(new LogEntry(1, 0, EntryKind.MEMBERSHIP, 0, null, null, membership));
        delayElection(nowMillis);
        return state.finish();
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
        state.begin();
        if (role != Role.LEADER) {
            return state.finish().refuse("this replica is not the leader");
        }
        if (leadership.isTransferring()) {
            return state.finish().refuse("the leader hands over");
        }
        for (Payload payload : payloads) {
            state.append(EntryKind.COMMAND, wallMillis, payload, null);
        }
        leadership.broadcast(nowMillis);
        return state.finish();
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
        state.begin();
        Membership next = change.apply(membership(), id, address);
        String refusal;
        if (role != Role.LEADER) {
            refusal = "this replica is not the leader";
        } else if (leadership.isTransferring() || change == MemberChange.REMOVE && id.equals(state.self)) {
            refusal = "the leader has to hand over first";
        } else if (next == null) {
            refusal = "the member is not of the right kind for the change";
        } else {
            refusal = leadership.change(next, nowMillis);
        }
        return state.finish().refuse(refusal);
    }

    /**
     * Begins to hand leadership over to the voter that has most of the log. Afterwards no command is taken, and
     * once the successor is asked the leader holds no lease.
     *
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do; refused if there is no successor
     */
    public Output transfer(long nowMillis) {
        state.begin();
        String refusal = role == Role.LEADER ? leadership.transfer(nowMillis) : "this replica is not the leader";
        return state.finish().refuse(refusal);
    }

    /**
     * Takes note that all chunks of a snapshot are stored and synced.
     *
     * @param last the last chunk
     * @param nowMillis the present monotonic time in milliseconds
     * @return what to do
     */
    public Output installed(RaftSnapshot last, long nowMillis) {
        state.begin();
        state.install(last.head());
        delayElection(nowMillis);
        if (last.term() == state.term()) {
            follower.snapshotDone(last);
        }
        return state.finish();
    }

    /**
     * Drops entries that an own snapshot covers.
     *
     * @param snapshot what the snapshot covers
     * @param keep how many of the entries that it covers stay at most, for followers that are a little behind; they
     *     are also limited to the bytes that may be sent to a follower at once
     * @return the last entry that was dropped
     */
    public SnapshotHead compact(SnapshotHead snapshot, long keep) {
        if (snapshot.index() > state.snapshot.index() && snapshot.index() <= state.emitted) {
            state.snapshot = snapshot;
            state.log.startAt(headAt(state.log.keepFrom(snapshot.index(), keep, state.timing.windowBytes())));
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
        return state.commit;
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
        return role == Role.LEADER ? leadership.match(id) : 0;
    }

    /**
     * Returns whether this leader has not heard a member for the longest election timeout.
     *
     * @param id its id
     * @param nowMillis the present monotonic time in milliseconds
     * @return true if the member is silent; false if this is not the leader
     */
    public boolean isSilent(ReplicaId id, long nowMillis) {
        return role == Role.LEADER && leadership.isSilent(id, nowMillis);
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
                follower.refuse(append);
            } else if (message instanceof RaftSnapshot chunk) {
                follower.refuse(chunk);
            }
        } else if (message instanceof RaftAppend append) {
            hear(append.from(), nowMillis);
            follower.append(append);
        } else if (message instanceof RaftSnapshot chunk) {
            hear(chunk.from(), nowMillis);
            follower.snapshot(chunk);
        } else if (message instanceof RaftVoteReply reply) {
            if (role == Role.CANDIDATE && !reply.preVote() && reply.granted()) {
                votes.add(reply.from());
                countVotes(nowMillis);
            }
        } else if (message instanceof RaftAppendReply reply && role == Role.LEADER) {
            leadership.replied(reply, nowMillis);
        } else if (message instanceof RaftSnapshotReply reply && role == Role.LEADER) {
            leadership.replied(reply, nowMillis);
        } else if (message instanceof RaftTransfer && role != Role.LEADER) {
            campaign(false, true, nowMillis);
        }
    }

    private void vote(RaftVote vote, long nowMillis) {
        boolean heardLeader = role == Role.LEADER || nowMillis - heardMillis < state.timing.electionMinMillis();
        if (heardLeader && !vote.transfer()) {
            return;
        }
        if (!vote.preVote() && vote.term() > state.term()) {
            follow(vote.term(), null, nowMillis);
        }
        boolean complete = vote.lastTerm() > state.log.lastTerm()
                || vote.lastTerm() == state.log.lastTerm() && vote.lastIndex() >= state.log.lastIndex();
        boolean granted;
        if (vote.preVote()) {
            granted = complete && vote.term() > state.term();
        } else {
            boolean free = state.vote() == null || state.vote().equals(vote.from());
            granted = complete && vote.term() == state.term() && free;
            if (granted) {
                if (state.vote() == null) {
                    state.hard(new HardState(state.term(), vote.from()));
                }
                delayElection(nowMillis);
            }
        }
        state.out
                .afterSync()
                .add(new RaftVoteReply(
                        state.self, vote.from(), granted ? vote.term() : state.term(), vote.preVote(), granted));
    }

    private void preVoteGranted(RaftVoteReply reply, long nowMillis) {
        if (role == Role.PRE_CANDIDATE && reply.term() == state.term() + 1) {
            votes.add(reply.from());
            if (membership().majority(votes::contains)) {
                campaign(false, false, nowMillis);
            }
        }
    }

    private void campaign(boolean preVote, boolean transfer, long nowMillis) {
        delayElection(nowMillis);
        if (!membership().hasVoter(state.self)) {
            return;
        }
        leader = null;
        votes.clear();
        long term = state.term() + 1;
        if (preVote) {
            role = Role.PRE_CANDIDATE;
            votes.add(state.self);
        } else {
            role = Role.CANDIDATE;
            elections++;
            state.hard(new HardState(term, state.self));
        }
        for (ReplicaId id : membership().voters()) {
            if (!id.equals(state.self)) {
                state.out
                        .afterSync()
                        .add(new RaftVote(
                                state.self, id, term, state.log.lastIndex(), state.log.lastTerm(), preVote, transfer));
            }
        }
        if (preVote && membership().majority(votes::contains)) {
            campaign(false, false, nowMillis);
        }
    }

    private void countVotes(long nowMillis) {
        if (membership().majority(votes::contains)) {
            role = Role.LEADER;
            leader = state.self;
            leadership = new Leadership(state, promotesLearners, nowMillis);
        }
    }

    private void follow(long term, ReplicaId newLeader, long nowMillis) {
        if (term > state.term()) {
            state.hard(new HardState(term, null));
        }
        if (role == Role.LEADER) {
            delayElection(nowMillis);
        }
        role = Role.FOLLOWER;
        leadership = null;
        leader = newLeader;
    }

    private void hear(ReplicaId from, long nowMillis) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("There are two leaders in term " + state.term());
        }
        follow(state.term(), from, nowMillis);
        heardMillis = nowMillis;
        delayElection(nowMillis);
    }

    private void delayElection(long nowMillis) {
        long spread = state.timing.electionMaxMillis() - state.timing.electionMinMillis();
        electionDue = nowMillis + state.timing.electionMinMillis() + (long) (random.nextDouble() * spread);
    }
}
