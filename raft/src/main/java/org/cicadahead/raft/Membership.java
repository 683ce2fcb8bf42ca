package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * The members of a replication group, sorted by id. Immutable.
 *
 * @param members the members, in any order
 */
public record Membership(List<Member> members) {
    /** The empty membership of a replica that does not belong to a group yet. */
    public static final Membership NONE = new Membership(List.of());

    /** Copies the members and sorts them by id. */
    public Membership {
        List<Member> sorted = new ArrayList<>(members == null ? List.of() : members);
        sorted.sort(Comparator.comparing(Member::id));
        members = List.copyOf(sorted);
    }

    /**
     * Returns the member with an id.
     *
     * @param id its id
     * @return the member, or null if there is none
     */
    public Member find(ReplicaId id) {
        for (Member member : members) {
            if (member.id().equals(id)) {
                return member;
            }
        }
        return null;
    }

    /**
     * Returns whether a replica is a voter.
     *
     * @param id its id
     * @return true if it is a member and a voter
     */
    public boolean hasVoter(ReplicaId id) {
        Member member = find(id);
        return member != null && member.voter();
    }

    /**
     * Returns the ids of the voters.
     *
     * @return the ids
     */
    public List<ReplicaId> voters() {
        return members.stream().filter(Member::voter).map(Member::id).toList();
    }

    /**
     * Returns the number of voters that form a majority.
     *
     * @return the quorum size
     */
    public int quorum() {
        return voters().size() / 2 + 1;
    }

    /**
     * Returns whether a majority of the voters satisfies a condition.
     *
     * @param condition the condition
     * @return true if a majority does
     */
    public boolean hasMajority(Predicate<ReplicaId> condition) {
        List<ReplicaId> voters = voters();
        return !voters.isEmpty() && voters.stream().filter(condition).count() >= quorum();
    }

    /**
     * Returns this membership with a member added or replaced.
     *
     * @param member the member
     * @return the membership
     */
    public Membership with(Member member) {
        List<Member> next = new ArrayList<>(without(member.id()).members);
        next.add(member);
        return new Membership(next);
    }

    /**
     * Returns this membership without a member.
     *
     * @param id its id
     * @return the membership
     */
    public Membership without(ReplicaId id) {
        return new Membership(members.stream().filter(m -> !m.id().equals(id)).toList());
    }
}
