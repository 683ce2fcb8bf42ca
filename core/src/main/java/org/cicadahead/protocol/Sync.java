package org.cicadahead.protocol;

/**
 * A heartbeat of an entry daemon or endpoint daemon to the leader.
 *
 * <p>Sent every 500 ms. Answered by {@link SyncReply}.
 *
 * @param daemon the sender
 * @param configurationRevision the revision that the sender applies, or 0
 * @param endpointsEpoch the epoch of the endpoint table that the sender has, or 0
 * @param endpointsVersion the version of that table, or 0
 * @param endedVersion the sequence number of the last ended program that the sender knows; -1 if it does not need ended
 *     programs
 * @param poisonVersion the version of the poison table that the sender has
 * @param announcement the description of the endpoint if the sender is an endpoint daemon, or null
 * @param load the load of the endpoint, or null
 */
public record Sync(
        DaemonInfo daemon,
        long configurationRevision,
        long endpointsEpoch,
        long endpointsVersion,
        long endedVersion,
        long poisonVersion,
        Announcement announcement,
        EndpointLoad load)
        implements Message {}
