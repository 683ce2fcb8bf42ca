package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The state and actions of a leader during one term. */
final class Leadership {
    private final ReplicaState state;
    private final Map<ReplicaId, Progress> progress = new HashMap<>();
    private final boolean promotesLearners;
    private final long firstIndex;
    private long heartbeatDue;
    private long leaseUntil = Long.MIN_VALUE;
    /** The successor of a leadership transfer in progress, or null. */
    private ReplicaId transferee;
    /** Whether the successor has been asked to start an election. */
    private boolean transferSent;

    private long transferDeadline;

    Leadership(ReplicaState state, boolean promotesLearners, long nowMillis) {
        this.state = state;
        this.promotesLearners = promotesLearners;
        updateMembers(nowMillis);
        this.firstIndex = state.append(EntryKind.EMPTY, 0, null, null).index();
        broadcast(nowMillis);
        renewLease(nowMillis);
    }

    long firstIndex() {
        return firstIndex;
    }

    /**
     * Returns the time at which the lease expires. After a successor has been asked to take over, the leader holds no
     * lease for the rest of the term.
     */
    long leaseUntil() {
        return transferSent ? Long.MIN_VALUE : leaseUntil;
    }

    boolean isTransferring() {
        return transferee != null;
    }

    long matchIndex(ReplicaId id) {
        if (id.equals(state.self)) {
            return state.durableIndex;
        }
        Progress peer = progress.get(id);
        return peer == null ? 0 : peer.matchIndex;
    }

    boolean isUnresponsive(ReplicaId id, long nowMillis) {
        Progress peer = progress.get(id);
        return peer != null && !hasRecentContact(id, nowMillis);
    }

    /**
     * Sends due heartbeats. Returns false if the leader must step down, because a majority does not respond or because
     * the successor did not take over in time.
     */
    boolean tick(long nowMillis) {
        renewLease(nowMillis);
        if (!membership().hasMajority(id -> hasRecentContact(id, nowMillis))
                || transferSent && nowMillis >= transferDeadline) {
            return false;
        }
        if (transferee != null && nowMillis >= transferDeadline) {
            transferee = null;
        }
        if (nowMillis >= heartbeatDue) {
            heartbeatDue = nowMillis + state.timing.heartbeatMillis();
            progress.forEach((id, peer) -> heartbeat(id, peer, nowMillis));
        }
        return true;
    }

    /** Sends new entries to all members whose send window has space, and advances the commit index. */
    void broadcast(long nowMillis) {
        progress.forEach((id, peer) -> replicate(id, peer, nowMillis));
        advanceCommit();
    }

    void handleReply(RaftAppendReply reply, long nowMillis) {
        Progress peer = recordContact(reply.from(), reply.sentMillis(), nowMillis);
        if (peer == null) {
            return;
        }
        if (!reply.success()) {
            // Responds immediately only to a rejection that moves the next index back; otherwise the next heartbeat
            // probes again.
            if (peer.rewind(reply.index(), reply.sentMillis(), nowMillis)) {
                sendEntries(reply.from(), peer, nowMillis);
            }
            return;
        }
        peer.recordAcknowledged(Math.min(reply.index(), state.log.lastIndex()));
        advanceCommit();
        replicate(reply.from(), peer, nowMillis);
        promoteWhenCaughtUp(reply.from(), peer, nowMillis);
        sendTransferWhenCaughtUp(reply.from(), peer, nowMillis);
    }

    void handleReply(RaftSnapshotReply reply, long nowMillis) {
        Progress peer = recordContact(reply.from(), reply.sentMillis(), nowMillis);
        if (peer == null) {
            return;
        }
        if (reply.done()) {
            peer.recordAcknowledged(Math.min(reply.index(), state.log.lastIndex()));
            peer.snapshotIndex = 0;
            replicate(reply.from(), peer, nowMillis);
        } else if (reply.index() == peer.snapshotIndex) {
            boolean forward = reply.offset() > peer.snapshotOffset;
            peer.snapshotOffset = reply.offset();
            // If the follower asks for an earlier chunk, the next heartbeat sends it, so that a duplicate reply does
            // not start a second stream of chunks.
            if (forward) {
                sendChunk(reply.from(), peer, nowMillis);
            }
        }
    }

    /** Appends a membership entry. Returns the reason for a refusal, or null on success. */
    String changeMembership(Membership next, long nowMillis) {
        if (state.commitIndex < firstIndex) {
            // Changing the membership before an entry of the leader's own term is committed could lead to two disjoint
            // majorities.
            return "the leader has not committed an entry of its term yet";
        }
        if (state.log.membershipIndex() > state.commitIndex) {
            return "another membership change is in progress";
        }
        if (!next.hasMajority(id -> hasRecentContact(id, nowMillis))) {
            return "a majority of the voters after the change is not responding";
        }
        appendMembership(next, nowMillis);
        return null;
    }

    /** Appends a membership entry without checking whether the change is safe. */
    void appendMembership(Membership next, long nowMillis) {
        state.append(EntryKind.MEMBERSHIP, 0, null, next);
        updateMembers(nowMillis);
        broadcast(nowMillis);
        renewLease(nowMillis);
    }

    /** Starts a leadership transfer. Returns the reason for a refusal, or null on success. */
    String transfer(long nowMillis) {
        if (transferee != null) {
            return "a leadership transfer is already in progress";
        }
        for (ReplicaId id : membership().voters()) {
            Progress peer = progress.get(id);
            if (peer != null
                    && nowMillis - peer.lastContactMillis <= state.timing.electionMinMillis()
                    && (transferee == null || peer.matchIndex > matchIndex(transferee))) {
                transferee = id;
            }
        }
        if (transferee == null) {
            return "no other voter is reachable";
        }
        transferDeadline = nowMillis + state.timing.electionMaxMillis();
        sendTransferWhenCaughtUp(transferee, progress.get(transferee), nowMillis);
        return null;
    }

    void advanceCommit() {
        List<Long> matches = new ArrayList<>();
        for (ReplicaId id : membership().voters()) {
            matches.add(matchIndex(id));
        }
        if (matches.isEmpty()) {
            return;
        }
        matches.sort(Collections.reverseOrder());
        long majorityMatch = matches.get(membership().quorum() - 1);
        if (majorityMatch > state.commitIndex && state.log.term(majorityMatch) == state.term()) {
            state.commitIndex = majorityMatch;
        }
    }

    private boolean hasRecentContact(ReplicaId id, long nowMillis) {
        return id.equals(state.self)
                || progress.get(id).lastContactMillis >= nowMillis - state.timing.electionMaxMillis();
    }

    private Membership membership() {
        return state.log.membership();
    }

    private void updateMembers(long nowMillis) {
        progress.keySet().removeIf(id -> membership().find(id) == null);
        for (Member member : membership().members()) {
            if (!member.id().equals(state.self)) {
                progress.computeIfAbsent(member.id(), id -> new Progress(state.log.lastIndex() + 1, nowMillis));
            }
        }
    }

    private Progress recordContact(ReplicaId from, long sentMillis, long nowMillis) {
        Progress peer = progress.get(from);
        if (peer != null) {
            peer.lastContactMillis = nowMillis;
            peer.ackedSentMillis = Math.max(peer.ackedSentMillis, sentMillis);
            renewLease(nowMillis);
        }
        return peer;
    }

    /** Renews the lease, which starts at the send time of the latest message that a majority has acknowledged. */
    private void renewLease(long nowMillis) {
        List<Long> times = new ArrayList<>();
        for (ReplicaId id : membership().voters()) {
            times.add(id.equals(state.self) ? nowMillis : progress.get(id).ackedSentMillis);
        }
        times.sort(Collections.reverseOrder());
        leaseUntil =
                times.isEmpty() ? Long.MIN_VALUE : times.get(membership().quorum() - 1) + state.timing.leaseMillis();
    }

    private void heartbeat(ReplicaId id, Progress peer, long nowMillis) {
        if (peer.nextIndex <= state.log.head().index()) {
            sendChunk(id, peer, nowMillis);
        } else if (peer.probing
                || peer.nextIndex > state.log.lastIndex()
                || !peer.hasWindowSpace(state.timing.windowBytes())) {
            sendAppend(id, peer.nextIndex - 1, List.of(), nowMillis);
        } else {
            replicate(id, peer, nowMillis);
        }
    }

    private void replicate(ReplicaId id, Progress peer, long nowMillis) {
        if (peer.probing) {
            return;
        }
        if (peer.nextIndex <= state.log.head().index()) {
            if (peer.snapshotIndex == 0) {
                sendChunk(id, peer, nowMillis);
            }
            return;
        }
        while (peer.nextIndex <= state.log.lastIndex() && peer.hasWindowSpace(state.timing.windowBytes())) {
            sendEntries(id, peer, nowMillis);
        }
    }

    private void sendEntries(ReplicaId id, Progress peer, long nowMillis) {
        if (peer.nextIndex <= state.log.head().index()) {
            sendChunk(id, peer, nowMillis);
            return;
        }
        List<LogEntry> entries = state.log.entriesFrom(peer.nextIndex, state.timing.batchBytes());
        sendAppend(id, peer.nextIndex - 1, entries, nowMillis);
        if (!peer.probing && !entries.isEmpty()) {
            peer.recordSent(
                    entries.get(entries.size() - 1).index(),
                    entries.stream().mapToLong(LogEntry::size).sum());
        }
    }

    private void sendAppend(ReplicaId id, long prevIndex, List<LogEntry> entries, long nowMillis) {
        state.output
                .messages()
                .add(new RaftAppend(
                        state.self,
                        id,
                        state.term(),
                        prevIndex,
                        state.log.term(prevIndex),
                        entries,
                        state.commitIndex,
                        nowMillis));
    }

    private void sendChunk(ReplicaId id, Progress peer, long nowMillis) {
        SnapshotHead head = state.snapshot;
        if (peer.snapshotIndex != head.index()) {
            peer.snapshotIndex = head.index();
            peer.snapshotOffset = 0;
        }
        state.output.chunkSends().add(new Output.ChunkSend(id, head, peer.snapshotOffset, state.term(), nowMillis));
    }

    private void promoteWhenCaughtUp(ReplicaId id, Progress peer, long nowMillis) {
        Member member = membership().find(id);
        if (promotesLearners
                && !member.voter()
                && peer.matchIndex >= state.commitIndex
                && state.commitIndex >= firstIndex) {
            changeMembership(membership().with(new Member(id, member.address(), true)), nowMillis);
        }
    }

    private void sendTransferWhenCaughtUp(ReplicaId id, Progress peer, long nowMillis) {
        if (id.equals(transferee) && !transferSent && peer.matchIndex == state.log.lastIndex()) {
            transferSent = true;
            transferDeadline = nowMillis + state.timing.electionMaxMillis();
            state.output.messages().add(new RaftTransfer(state.self, id, state.term()));
        }
    }
}
