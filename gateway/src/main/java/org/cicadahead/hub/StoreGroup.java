package org.cicadahead.hub;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.fleet.StoreMembers;

/** A hub's client of the group of stores. */
interface StoreGroup {

    /** Returns the members; fails if no leader responds. */
    CompletableFuture<StoreMembers> members();
}
