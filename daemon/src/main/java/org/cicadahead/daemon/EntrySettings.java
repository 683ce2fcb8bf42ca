package org.cicadahead.daemon;

import org.cicadahead.entry.EntryConfig;
import org.cicadahead.protocol.DaemonInfo;

/**
 * Settings of the section {@code [entry]}. Immutable.
 *
 * @param listen the host and port on which the entry listens for callers
 * @param address the host and port at which callers reach this entry; {@code listen} by default
 * @param maxBodyBytes the maximum size of a request body, in bytes; 4 MiB by default
 */
public record EntrySettings(String listen, String address, Long maxBodyBytes) {
    private static final long DEFAULT_MAX_BODY_BYTES = 4L << 20;
    /** Limited so that two bodies of this size fit into the memory of the smallest daemon. */
    private static final long MAX_BODY_BYTES = 16L << 20;

    /** Validates the values and sets defaults for absent ones. */
    public EntrySettings {
        Fields.address(listen, "listen");
        address = Fields.orDefault(address, listen);
        Fields.address(address, "address");
        maxBodyBytes = Fields.orDefault(maxBodyBytes, DEFAULT_MAX_BODY_BYTES);
        Fields.inRange(maxBodyBytes, 1, MAX_BODY_BYTES, "max_body_bytes");
    }

    /**
     * Returns the configuration of the entry node.
     *
     * @param daemon the identity, roles, zone, generation and address of the daemon
     * @param settings the section {@code [daemon]}
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
