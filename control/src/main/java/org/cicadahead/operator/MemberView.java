package org.cicadahead.operator;

/**
 * A replica as operators see it. Immutable.
 *
 * @param replica the replica id
 * @param address host and port at which it serves daemons
 * @param voter whether it votes
 * @param leader whether it leads
 * @param matchIndex the last log entry that it is known to have synced
 * @param lagEntries how many entries it is behind the leader; a replica that is down falls behind only while there are
 *     writes
 */
public record MemberView(
        String replica, String address, boolean voter, boolean leader, long matchIndex, long lagEntries) {}
