package org.cicadahead.raft;

/** A membership change that affects one member. */
public enum MemberChange {
    /** Adds a member as a learner. */
    ADD {
        @Override
        Membership apply(Membership membership, ReplicaId id, String address) {
            return membership.find(id) == null ? membership.with(new Member(id, address, false)) : null;
        }
    },
    /** Promotes a learner to a voter. */
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

    /** Returns the new membership, or null if the change does not apply to the current state of the member. */
    abstract Membership apply(Membership membership, ReplicaId id, String address);
}
