package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Asks for the progress of the decommissioning of a store. Answered by {@link DecommissionState}.
 *
 * @param name the name of the store's VM
 */
public record ReadDecommission(String name) implements Message {}
