package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Asks a store to hand over its data and to leave the group of stores. Answered by {@link DecommissionState}.
 *
 * @param name the name of the store's VM
 * @param address the address of the store, which the leader of the hubs fills in; empty when another process sends the
 *     message
 */
public record DecommissionStore(String name, String address) implements Command {}
