package org.cicadahead.daemon;

import org.cicadahead.entry.EntryConfig;
import org.cicadahead.protocol.DaemonInfo;

/**
 * The section {@code [entry]}. Immutable.
 *
 * @param listen host and port for callers
 * @param address host and port at which callers reach this entry; {@code listen} by default
 * @param maxBodyBytes the largest request body in bytes; 4 MiB by default
 */
public record EntrySettings(String listen, String address, Long maxBodyBytes) {
    private static final long DEFAULT_MAX_BODY_BYTES = 4L << 20;
    /** Two bodies of this size fit the memory of the smallest daemon. */
    private static final long MAX_BODY_BYTES = 16L << 20;

    /** Checks the values and sets defaults for those that are absent. */
    public EntrySettings {
        Fields.address(listen, "listen");
        address = Fields.orDefault(address, listen);
        Fields.address(address, "address");
        maxBodyBytes = Fields.orDefault(maxBodyBytes, DEFAULT_MAX_BODY_BYTES);
        Fields.inRange(maxBodyBytes, 1, MAX_BODY_BYTES, "max_body_bytes");
    }

    /**
     * Returns the configuration of the node.
     *
     * @param daemon who the daemon is
     * @param settings the section of the daemon
     * @return the configuration
     */
    EntryConfig toConfig(DaemonInfo daemon, DaemonSettings settings) {
        return new EntryConfig(
                daemon,
                Fields.addresses(settings.control(), "control"),
                Fields.address(listen, "listen"),
                settings.workers(),
                maxBodyBytes);
    }
}
