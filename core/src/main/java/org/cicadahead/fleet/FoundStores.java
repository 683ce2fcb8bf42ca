package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Decides which store founds the group of stores; the first decision holds. Answered by {@link
 * org.cicadahead.protocol.Done}.
 *
 * @param address the address of the store
 */
public record FoundStores(String address) implements Command {}
