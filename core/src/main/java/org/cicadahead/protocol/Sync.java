package org.cicadahead.protocol;

/**
 * A heartbeat of an entry or endpoint daemon to the leader.
 *
 * <p>Answered by {@link SyncReply}. Sent every 500 ms.
 *
 * @param daemon the sender
 * @param configurationRevision the revision that the sender applies, or 0
 * @param endpointsEpoch the epoch of the endpoint table that the sender has, or 0
 * @param endpointsVersion its version, or 0
 * @param endedVersion the last end of a program that the sender knows; -1 if it does not want them
 * @param poisonVersion the version of the poison table that the sender has
 * @param announcement the endpoint of an endpoint daemon, or null
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
