package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Asks how far the decommissioning of a store is. Answered by {@link DecommissionState}.
 *
 * @param name the name of the store's VM
 */
public record ReadDecommission(String name) implements Message {}
