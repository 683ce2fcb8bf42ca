package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;

/** A deliberate fault injected around an unmodified {@link Consensus}, which the simulation must detect. */
enum Mutant {
    /** No fault. */
    NONE,
    /** A restarted replica votes at once, although it may have acknowledged a leader whose lease is still valid. */
    RESTART_FORGETS_LEADER {
        @Override
        long startMillis(long nowMillis) {
            return nowMillis - Simulation.TIMING.electionMaxMillis();
        }
    },
    /** A follower votes although it has received a message from a leader within the shortest election timeout. */
    VOTE_NOT_REFUSED_NEAR_LEADER {
        @Override
        RaftMessage received(RaftMessage message, Consensus consensus) {
            // The only effect of the transfer flag is that the vote request is not refused while a leader is known.
            return message instanceof RaftVote v && consensus.role() != Consensus.Role.LEADER
                    ? new RaftVote(v.from(), v.to(), v.term(), v.lastIndex(), v.lastTerm(), v.preVote(), true)
                    : message;
        }
    },
    /** A leader commits entries of earlier terms by counting replicas, before an entry of its own term is committed. */
    OLD_TERM_COMMITTED_BY_COUNT {
        @Override
        void afterStep(Consensus consensus) {
            commit(consensus, majorityMatch(consensus, Member::voter));
        }
    },
    /** A leader starts a membership change while another one is not yet committed. */
    TWO_MEMBERSHIP_CHANGES {
        @Override
        Output change(Consensus consensus, MemberChange change, ReplicaId id, String address, long nowMillis) {
            Membership next = change.apply(consensus.membership(), id, address);
            if (consensus.role() != Consensus.Role.LEADER || next == null || id.equals(consensus.state.self)) {
                return super.change(consensus, change, id, address, nowMillis);
            }
            consensus.state.beginOutput();
            consensus.leadership.appendMembership(next, nowMillis);
            return consensus.state.finishOutput();
        }
    },
    /** A follower acknowledges entries before they are synced, so a crash loses acknowledged entries. */
    ACKNOWLEDGED_BEFORE_SYNC {
        @Override
        boolean isSentBeforeSync(RaftMessage message) {
            return message instanceof RaftAppendReply;
        }
    },
    /** A replica grants a vote before the vote is synced, so after a crash it may vote again in the same term. */
    VOTED_BEFORE_SYNC {
        @Override
        boolean isSentBeforeSync(RaftMessage message) {
            return message instanceof RaftVoteReply;
        }
    },
    /** A lease is still valid when another replica may already be elected. */
    LEASE_LONGER_THAN_ELECTION {
        @Override
        long leaseUntil(Consensus consensus) {
            long until = consensus.leaseUntilMillis();
            return until == Long.MIN_VALUE ? until : until + Simulation.TIMING.electionMaxMillis();
        }
    },
    /** A leader counts the acknowledgements of learners towards the quorum. */
    LEARNER_COUNTED {
        @Override
        void afterStep(Consensus consensus) {
            long majorityMatch = majorityMatch(consensus, member -> true);
            if (consensus.state.log.term(majorityMatch) == consensus.term()) {
                commit(consensus, majorityMatch);
            }
        }
    },
    /** A leader commits an entry as soon as the entry is synced on its own disk. */
    APPLIED_BEFORE_COMMIT {
        @Override
        void afterStep(Consensus consensus) {
            commit(consensus, consensus.state.durableIndex);
        }
    };

    long startMillis(long nowMillis) {
        return nowMillis;
    }

    RaftMessage received(RaftMessage message, Consensus consensus) {
        return message;
    }

    void afterStep(Consensus consensus) {}

    boolean isSentBeforeSync(RaftMessage message) {
        return false;
    }

    long leaseUntil(Consensus consensus) {
        return consensus.leaseUntilMillis();
    }

    Output change(Consensus consensus, MemberChange change, ReplicaId id, String address, long nowMillis) {
        return consensus.change(change, id, address, nowMillis);
    }

    /**
     * Returns the highest index that a quorum of the counted members has synced. The quorum size is computed from the
     * voters only.
     */
    private static long majorityMatch(Consensus consensus, Predicate<Member> counted) {
        List<Long> matches = new ArrayList<>();
        for (Member member : consensus.membership().members()) {
            if (counted.test(member)) {
                matches.add(consensus.matchIndex(member.id()));
            }
        }
        matches.sort(Collections.reverseOrder());
        int quorum = consensus.membership().quorum();
        return matches.size() < quorum ? 0 : matches.get(quorum - 1);
    }

    private static void commit(Consensus consensus, long index) {
        if (consensus.role() == Consensus.Role.LEADER) {
            consensus.state.commitIndex = Math.max(consensus.state.commitIndex, index);
        }
    }
}
