package org.cicadahead.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.operator.MemberView;

/** Lists and changes the members of the replica group. Implementations are thread-safe. */
interface GroupMembership {

    /** Returns why this replica does not take part in the group, or empty if it does. */
    Optional<String> failure();

    /** Returns the members. */
    List<MemberView> list();

    /** Adds a replica; fails with an {@link org.cicadahead.operator.AdminException}. */
    CompletableFuture<Void> add(String replica, String address);

    /** Removes a replica; fails with an {@link org.cicadahead.operator.AdminException}. */
    CompletableFuture<Void> remove(String replica);
}
