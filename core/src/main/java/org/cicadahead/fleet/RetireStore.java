package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Asks that a store is emptied and leaves the group. Answered by {@link RetirementState}.
 *
 * @param name the name of the store's VM
 * @param address the address of the store, which the leader of the hubs fills in; empty from elsewhere
 */
public record RetireStore(String name, String address) implements Command {}
