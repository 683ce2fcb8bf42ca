package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;

/** A deliberate fault injected around an unmodified {@link Consensus}, which the simulation must detect. */
enum Mutant {
    NONE,
    RESTART_FORGETS_LEADER {
        @Override
        long startMillis(long nowMillis) {
            return nowMillis - Simulation.TIMING.electionMaxMillis();
        }
    },
    VOTE_NOT_REFUSED_NEAR_LEADER {
        @Override
        RaftMessage received(RaftMessage message, Consensus consensus) {
            // The only effect of the transfer flag is that the vote request is not refused while a leader is known.
            return message instanceof RaftVote v && consensus.role() != Consensus.Role.LEADER
                    ? new RaftVote(v.from(), v.to(), v.term(), v.lastIndex(), v.lastTerm(), v.preVote(), true)
                    : message;
        }
    },
    OLD_TERM_COMMITTED_BY_COUNT {
        @Override
        void afterStep(Consensus consensus) {
            commit(consensus, majorityMatch(consensus, Member::voter));
        }
    },
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
    ACKNOWLEDGED_BEFORE_SYNC {
        @Override
        boolean isSentBeforeSync(RaftMessage message) {
            return message instanceof RaftAppendReply;
        }
    },
    VOTED_BEFORE_SYNC {
        @Override
        boolean isSentBeforeSync(RaftMessage message) {
            return message instanceof RaftVoteReply;
        }
    },
    LEASE_LONGER_THAN_ELECTION {
        @Override
        long leaseUntil(Consensus consensus) {
            long until = consensus.leaseUntilMillis();
            return until == Long.MIN_VALUE ? until : until + Simulation.TIMING.electionMaxMillis();
        }
    },
    LEARNER_COUNTED {
        @Override
        void afterStep(Consensus consensus) {
            long majorityMatch = majorityMatch(consensus, member -> true);
            if (consensus.state.log.term(majorityMatch) == consensus.term()) {
                commit(consensus, majorityMatch);
            }
        }
    },
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
     * Returns the highest index that enough of the counted members have reached to form a quorum; the quorum size is
     * that of the voters.
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
