package org.cicadahead.daemon;

import java.util.List;
import java.util.Set;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.Role;
import org.cicadahead.model.ZoneName;

/**
 * Settings of the section {@code [daemon]}. Immutable.
 *
 * @param id the id of the daemon, which stays the same across restarts
 * @param roles the roles that the daemon runs
 * @param zone the availability zone of the daemon
 * @param control the addresses of the control replicas; required for the roles {@code entry} and {@code endpoint}
 * @param workers the number of worker threads of each role, 1 to 1,024; 16 by default
 * @param shutdownTimeoutMillis the time limit of a graceful shutdown, in milliseconds; 30,000 by default
 */
public record DaemonSettings(
        String id, Set<Role> roles, String zone, List<String> control, Integer workers, Long shutdownTimeoutMillis) {
    private static final int DEFAULT_WORKERS = 16;
    private static final int MAX_WORKERS = 1_024;
    private static final long DEFAULT_SHUTDOWN_TIMEOUT_MILLIS = 30_000;
    private static final long MAX_SHUTDOWN_TIMEOUT_MILLIS = 600_000;

    /** Validates the values and sets defaults for absent ones. */
    public DaemonSettings {
        Fields.parsed(id, "id", "a daemon id of letters, digits and ._:-", DaemonId::of);
        Fields.parsed(zone, "zone", "an availability zone name", ZoneName::of);
        roles = Set.copyOf(Fields.required(roles, "roles", "a list of control, entry and endpoint"));
        if (roles.isEmpty()) {
            throw new FieldException("roles", "expected at least one of control, entry and endpoint");
        }
        control = List.copyOf(Fields.orDefault(control, List.of()));
        Fields.addresses(control, "control");
        workers = Fields.orDefault(workers, DEFAULT_WORKERS);
        Fields.inRange(workers, 1, MAX_WORKERS, "workers");
        shutdownTimeoutMillis = Fields.orDefault(shutdownTimeoutMillis, DEFAULT_SHUTDOWN_TIMEOUT_MILLIS);
        Fields.inRange(shutdownTimeoutMillis, 1, MAX_SHUTDOWN_TIMEOUT_MILLIS, "shutdown_timeout_millis");
    }
}
