package org.cicadahead.replication;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.cicadahead.raft.Timing;

/**
 * The settings of a replica. Immutable. Use {@link #of(Path, String, List, boolean)} for the default settings.
 *
 * @param folder the data folder
 * @param address the address (host and port) at which other replicas reach the peer server of this one
 * @param members the addresses of the initial members, including this one; once the group exists, the addresses at
 *     which to look for it
 * @param bootstrap whether the initial members create the group if it does not exist
 * @param timing the timeouts and size limits of consensus
 * @param segmentBytes the size at which a new log file is started, in bytes
 * @param snapshotEntries the number of applied entries after which a snapshot is taken
 * @param snapshotBytes the size of the applied entries after which a snapshot is taken, in bytes
 * @param keepEntries the number of entries covered by a snapshot that are kept for followers that lag slightly behind
 * @param targetVoters the number of voters that the leader maintains automatically: additional replicas wait as spares,
 *     and an unresponsive voter is removed once this many other voters respond; 0 if every replica may join and only
 *     operators remove members
 */
public record ReplicationConfig(
        Path folder,
        String address,
        List<String> members,
        boolean bootstrap,
        Timing timing,
        long segmentBytes,
        long snapshotEntries,
        long snapshotBytes,
        long keepEntries,
        int targetVoters) {
    private static final long SEGMENT_BYTES = 16L * 1024 * 1024;
    private static final long SNAPSHOT_ENTRIES = 20_000;
    private static final long SNAPSHOT_BYTES = 64L * 1024 * 1024;
    private static final long KEEP_ENTRIES = 2_000;

    /**
     * Checks the settings.
     *
     * @throws NullPointerException if a field is null
     * @throws IllegalArgumentException if bootstrap is set and this replica is not among the initial members
     */
    public ReplicationConfig {
        Objects.requireNonNull(folder, "The folder must not be null");
        Objects.requireNonNull(address, "The address must not be null");
        Objects.requireNonNull(timing, "The timing must not be null");
        members = List.copyOf(members);
        if (bootstrap && !members.contains(address)) {
            throw new IllegalArgumentException("The address " + address + " must be among the initial members");
        }
    }

    /**
     * Returns settings with the default timeouts and sizes.
     *
     * @param folder the data folder
     * @param address the address (host and port) of this replica's peer server
     * @param members the addresses of the initial members
     * @param bootstrap whether the initial members create the group if it does not exist
     * @return the settings
     */
    public static ReplicationConfig of(Path folder, String address, List<String> members, boolean bootstrap) {
        return new ReplicationConfig(
                folder,
                address,
                members,
                bootstrap,
                Timing.standard(),
                SEGMENT_BYTES,
                SNAPSHOT_ENTRIES,
                SNAPSHOT_BYTES,
                KEEP_ENTRIES,
                0);
    }

    /**
     * Returns a copy of these settings with a different snapshot interval and number of kept entries.
     *
     * @param entries the number of applied entries after which a snapshot is taken
     * @param keepEntriesAfterSnapshot the number of entries covered by a snapshot that are kept
     * @return the settings
     */
    public ReplicationConfig withSnapshots(long entries, long keepEntriesAfterSnapshot) {
        return new ReplicationConfig(
                folder,
                address,
                members,
                bootstrap,
                timing,
                segmentBytes,
                entries,
                snapshotBytes,
                keepEntriesAfterSnapshot,
                targetVoters);
    }

    /**
     * Returns a copy of these settings with another value of bootstrap.
     *
     * @param enabled whether the initial members create the group if it does not exist
     * @return the settings
     * @throws IllegalArgumentException if bootstrap is set and this replica is not among the initial members
     */
    public ReplicationConfig withBootstrap(boolean enabled) {
        return new ReplicationConfig(
                folder,
                address,
                members,
                enabled,
                timing,
                segmentBytes,
                snapshotEntries,
                snapshotBytes,
                keepEntries,
                targetVoters);
    }

    /**
     * Returns settings for a group within one region that maintains its number of voters automatically.
     *
     * @param folder the data folder
     * @param address the address (host and port) of this replica's peer server
     * @param contacts the addresses of the initial members, or addresses at which replicas of the group may be found
     * @param bootstrap whether the initial members create the group if it does not exist
     * @param segmentBytes the size at which a new log file is started, in bytes
     * @param snapshotBytes the size of the applied entries after which a snapshot is taken, in bytes
     * @param faultsTolerated the number f of replicas that may fail at the same time; the group maintains 2f + 1 voters
     * @return the settings
     * @throws IllegalArgumentException if the number of faults is negative
     */
    public static ReplicationConfig withinRegion(
            Path folder,
            String address,
            List<String> contacts,
            boolean bootstrap,
            long segmentBytes,
            long snapshotBytes,
            int faultsTolerated) {
        return new ReplicationConfig(
                folder,
                address,
                contacts,
                bootstrap,
                Timing.withinRegion(),
                segmentBytes,
                SNAPSHOT_ENTRIES,
                snapshotBytes,
                KEEP_ENTRIES,
                votersFor(faultsTolerated));
    }

    /**
     * Returns the number of voters that a group needs to keep a majority after some of them fail.
     *
     * @param faultsTolerated the number of voters that may fail at the same time
     * @return the number of voters
     * @throws IllegalArgumentException if the number of faults is negative
     */
    public static int votersFor(int faultsTolerated) {
        if (faultsTolerated < 0) {
            throw new IllegalArgumentException(
                    "The number of tolerated faults must not be negative: " + faultsTolerated);
        }
        return 2 * faultsTolerated + 1;
    }
}
