package org.cicadahead.operator;

/**
 * A replica as operators see it. Immutable.
 *
 * @param replica the replica id
 * @param address host and port at which it serves daemons
 * @param voter whether it votes
 * @param leader whether it leads
 */
public record MemberView(String replica, String address, boolean voter, boolean leader) {}
