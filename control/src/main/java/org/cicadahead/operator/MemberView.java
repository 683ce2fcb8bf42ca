package org.cicadahead.operator;

/**
 * A replica of the group, as shown to operators. Immutable.
 *
 * @param replica the replica id
 * @param address host and port at which it serves daemons
 * @param voter whether it votes
 * @param leader whether it is the leader
 * @param matchIndex the index of the last log entry that it is known to have synced to disk
 * @param lagEntries the number of log entries of the leader that the replica lacks; for a stopped replica it grows only
 *     when commands are written
 */
public record MemberView(
        String replica, String address, boolean voter, boolean leader, long matchIndex, long lagEntries) {}
