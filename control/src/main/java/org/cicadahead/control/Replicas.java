package org.cicadahead.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.operator.MemberView;

/** The members of the replicated group. Implementations are safe for use by several threads. */
interface Replicas {

    /** Returns the members. */
    List<MemberView> list();

    /** Adds a replica; fails with an {@link org.cicadahead.operator.AdminException}. */
    CompletableFuture<Void> add(String replica, String address);

    /** Removes a replica; fails with an {@link org.cicadahead.operator.AdminException}. */
    CompletableFuture<Void> remove(String replica);
}
