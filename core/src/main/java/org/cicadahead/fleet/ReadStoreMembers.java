package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/** Asks the leader of the stores for the members of their group. Answered by {@link StoreMembers}. */
public record ReadStoreMembers() implements Message {}
