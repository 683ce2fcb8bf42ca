package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Subscribes to the state of the fleet and its changes at a hub. Answered by an endless stream of {@link FleetUpdate}
 * parts.
 *
 * @param daemon the daemon that subscribes
 */
public record WatchFleet(DaemonPlace daemon) implements Message {}
