package org.cicadahead.raft;

/** A change of one member. */
public enum MemberChange {
    /** Adds a learner. */
    ADD {
        @Override
        Membership apply(Membership membership, ReplicaId id, String address) {
            return membership.find(id) == null ? membership.with(new Member(id, address, false)) : null;
        }
    },
    /** Makes a learner a voter. */
    PROMOTE {
        @Override
        Membership apply(Membership membership, ReplicaId id, String address) {
            Member member = membership.find(id);
            return member == null || member.voter() ? null : membership.with(new Member(id, member.address(), true));
        }
    },
    /** Removes a member. */
    REMOVE {
        @Override
        Membership apply(Membership membership, ReplicaId id, String address) {
            return membership.find(id) == null ? null : membership.without(id);
        }
    };

    /** Returns the next membership, or null if the member is not of the right kind. */
    abstract Membership apply(Membership membership, ReplicaId id, String address);
}
