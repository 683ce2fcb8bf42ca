package org.cicadahead.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cicadahead.control.ControlConfig;
import org.cicadahead.protocol.DaemonInfo;

/**
 * Settings of the section {@code [control]}. Immutable.
 *
 * @param listen the host and port on which the replica listens for other daemons
 * @param address the host and port at which other daemons reach this replica; {@code listen} by default
 * @param dataFolder the folder that holds all durable files
 * @param adminListen the host and port on which the admin API listens
 * @param adminAddress the host and port at which operators reach this replica; {@code admin_listen} by default
 * @param adminTokenFile the file that holds the bearer token for operators
 * @param initialMembers the addresses of the initial replicas, including this one
 * @param bootstrap whether a replica with an empty data folder may form a new replica group; false by default
 */
public record ControlSettings(
        String listen,
        String address,
        String dataFolder,
        String adminListen,
        String adminAddress,
        String adminTokenFile,
        List<String> initialMembers,
        Boolean bootstrap) {
    private static final int MAX_MEMBERS = 7;

    /** Validates the values and sets defaults for absent ones. */
    public ControlSettings {
        Fields.address(listen, "listen");
        address = Fields.orDefault(address, listen);
        Fields.address(address, "address");
        Fields.parsed(dataFolder, "data_folder", "a folder", Path::of);
        Fields.address(adminListen, "admin_listen");
        adminAddress = Fields.orDefault(adminAddress, adminListen);
        Fields.address(adminAddress, "admin_address");
        Fields.parsed(adminTokenFile, "admin_token_file", "a file", Path::of);
        initialMembers = List.copyOf(Fields.orDefault(initialMembers, List.of()));
        Fields.addresses(initialMembers, "initial_members");
        bootstrap = Fields.orDefault(bootstrap, false);
        if (bootstrap && !initialMembers.contains(address)) {
            throw new FieldException("initial_members", "expected a list that contains " + address);
        }
        if (initialMembers.size() > MAX_MEMBERS) {
            throw new FieldException("initial_members", "expected at most " + MAX_MEMBERS + " addresses");
        }
    }

    /**
     * Returns the configuration of the control node.
     *
     * @param daemon the identity, roles, zone, generation and address of the daemon
     * @param workers the number of worker threads
     * @return the configuration
     * @throws SettingsException if the token file cannot be read or is empty
     */
    ControlConfig toConfig(DaemonInfo daemon, int workers) throws SettingsException {
        InetSocketAddress peerListenAddress = Fields.address(listen, "listen");
        InetSocketAddress adminListenAddress = Fields.address(adminListen, "admin_listen");
        return new ControlConfig(
                daemon,
                Path.of(dataFolder),
                peerListenAddress,
                adminListenAddress,
                adminAddress,
                readToken(),
                initialMembers,
                bootstrap,
                workers);
    }

    private String readToken() throws SettingsException {
        try {
            String token = Files.readString(Path.of(adminTokenFile)).strip();
            if (token.isEmpty()) {
                throw new SettingsException("control.admin_token_file: " + adminTokenFile + " is empty", null);
            }
            return token;
        } catch (IOException e) {
            throw new SettingsException("control.admin_token_file: cannot read " + adminTokenFile, e);
        }
    }
}
