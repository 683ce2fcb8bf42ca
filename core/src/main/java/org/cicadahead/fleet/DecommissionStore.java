package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Asks that a store hands over its data and leaves the group. Answered by {@link DecommissionState}.
 *
 * @param name the name of the store's VM
 * @param address the address of the store, which the leader of the hubs fills in; empty from elsewhere
 */
public record DecommissionStore(String name, String address) implements Command {}
