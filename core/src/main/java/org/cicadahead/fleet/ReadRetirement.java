package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Asks how far the retirement of a store is. Answered by {@link RetirementState}.
 *
 * @param name the name of the store's VM
 */
public record ReadRetirement(String name) implements Message {}
