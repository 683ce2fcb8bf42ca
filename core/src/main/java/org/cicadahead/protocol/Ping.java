package org.cicadahead.protocol;

import org.cicadahead.model.DaemonId;

/**
 * Asks an endpoint daemon for its load. Answered by {@link Pong}.
 *
 * @param sender the sender
 */
public record Ping(DaemonId sender) implements Message {}
