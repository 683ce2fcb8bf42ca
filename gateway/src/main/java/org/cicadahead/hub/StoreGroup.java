package org.cicadahead.hub;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.fleet.StoreMembers;

/** The group of stores as a hub asks it. */
interface StoreGroup {

    /** Returns the members; fails if no leader answers. */
    CompletableFuture<StoreMembers> members();
}
