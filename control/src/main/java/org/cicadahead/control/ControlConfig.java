package org.cicadahead.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.cicadahead.protocol.DaemonInfo;

/**
 * The configuration of a {@link ControlNode}. Immutable.
 *
 * @param daemon the identity of the daemon, with the address at which other daemons reach this replica
 * @param dataFolder the folder of all files of the replica
 * @param listen the address to listen on for other daemons
 * @param adminListen the address to listen on for operators
 * @param adminAddress host and port at which operators reach this replica
 * @param adminToken the bearer token of operators
 * @param initialMembers the daemon addresses of the first replicas, this one included; used only while the data folder
 *     is empty and {@code bootstrap} is set
 * @param bootstrap whether an empty data folder may form a new group; otherwise the replica waits to be added
 * @param workers the number of worker threads
 */
public record ControlConfig(
        DaemonInfo daemon,
        Path dataFolder,
        InetSocketAddress listen,
        InetSocketAddress adminListen,
        String adminAddress,
        String adminToken,
        List<String> initialMembers,
        boolean bootstrap,
        int workers) {

    /**
     * Creates a configuration.
     *
     * @throws NullPointerException if a value is null
     * @throws IllegalArgumentException if the number of workers is less than 1
     */
    public ControlConfig {
        Objects.requireNonNull(daemon, "The daemon must not be null");
        Objects.requireNonNull(dataFolder, "The data folder must not be null");
        Objects.requireNonNull(listen, "The listen address must not be null");
        Objects.requireNonNull(adminListen, "The admin listen address must not be null");
        Objects.requireNonNull(adminToken, "The admin token must not be null");
        initialMembers = List.copyOf(initialMembers);
        if (workers < 1) {
            throw new IllegalArgumentException("The workers must be at least 1: " + workers);
        }
    }
}
