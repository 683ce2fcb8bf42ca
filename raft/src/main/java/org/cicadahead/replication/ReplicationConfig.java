package org.cicadahead.replication;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.cicadahead.raft.Timing;

/**
 * Settings of a replica. Immutable. The first use is {@link #of(Path, String, List, boolean)}.
 *
 * @param folder the data folder
 * @param address host and port under which the other replicas reach the peer server of this one
 * @param members the addresses of the initial members, this one among them; later the addresses to ask for the group
 * @param bootstrap whether the initial members found the group if none exists
 * @param timing the times of consensus
 * @param segmentBytes the size at which a new log file is begun, in bytes
 * @param snapshotEntries the number of applied entries after which a snapshot is taken
 * @param snapshotBytes the bytes of applied entries after which a snapshot is taken
 * @param keepEntries how many entries that a snapshot covers stay for followers that are a little behind
 * @param targetVoters the voters that the leader keeps up by itself: replicas beyond them wait as spares, and a silent
 *     voter is removed once so many others answer; 0 if each replica joins and only operators remove members
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
     * @throws IllegalArgumentException if the group is to be founded without this replica
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
     * Returns settings with the usual times and sizes.
     *
     * @param folder the data folder
     * @param address host and port of this replica's peer server
     * @param members the addresses of the initial members
     * @param bootstrap whether the initial members found the group if none exists
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
     * Returns these settings with snapshots taken at other points.
     *
     * @param entries the number of applied entries after which a snapshot is taken
     * @param keepEntriesAfterSnapshot how many entries that a snapshot covers stay
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
     * Returns settings for a group within one region that keeps up the number of its voters by itself.
     *
     * @param folder the data folder
     * @param address host and port of this replica's peer server
     * @param contacts the addresses of the initial members, or where replicas of the group may be found
     * @param bootstrap whether the initial members found the group if none exists
     * @param segmentBytes the size at which a new log file is begun, in bytes
     * @param snapshotBytes the bytes of applied entries after which a snapshot is taken
     * @param faultsTolerated how many replicas may be lost at once; the group keeps twice as many voters and one
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
     * Returns how many voters a group needs to lose some and still have a majority.
     *
     * @param faultsTolerated how many may be lost at once
     * @return the number of voters
     * @throws IllegalArgumentException if the number of faults is negative
     */
    public static int votersFor(int faultsTolerated) {
        if (faultsTolerated < 0) {
            throw new IllegalArgumentException("The faults must not be negative: " + faultsTolerated);
        }
        return 2 * faultsTolerated + 1;
    }
}
