package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Asks a hub for a reply on the connection on which it sends the changes of the fleet. Answered by
 * {@link org.cicadahead.protocol.Done}. The reply arrives after all changes that the hub has acknowledged before.
 */
public record ConfirmFleet() implements Message {}
