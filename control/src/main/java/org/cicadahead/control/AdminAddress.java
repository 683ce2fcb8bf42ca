package org.cicadahead.control;

import org.cicadahead.protocol.Message;

/**
 * Reply to {@link FindAdmin}.
 *
 * @param address host and port at which operators reach the replica
 */
record AdminAddress(String address) implements Message {}
