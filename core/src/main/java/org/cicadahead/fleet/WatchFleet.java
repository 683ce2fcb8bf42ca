package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Asks a hub for the state of the fleet and its changes. Answered by parts of type {@link FleetUpdate} without an end.
 *
 * @param daemon who watches
 */
public record WatchFleet(DaemonPlace daemon) implements Message {}
