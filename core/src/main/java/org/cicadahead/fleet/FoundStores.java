package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;

/**
 * Decides which store bootstraps the group of stores. The first decision is final; later ones are ignored. Answered by
 * {@link org.cicadahead.protocol.Done}.
 *
 * @param address the address of the store
 */
public record FoundStores(String address) implements Command {}
