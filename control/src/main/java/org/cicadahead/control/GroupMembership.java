package org.cicadahead.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.operator.MemberView;

/** Lists and changes the members of the replica group. Implementations are thread-safe. */
interface GroupMembership {

    /** Returns the members. */
    List<MemberView> list();

    /** Adds a replica; fails with an {@link org.cicadahead.operator.AdminException}. */
    CompletableFuture<Void> add(String replica, String address);

    /** Removes a replica; fails with an {@link org.cicadahead.operator.AdminException}. */
    CompletableFuture<Void> remove(String replica);
}
