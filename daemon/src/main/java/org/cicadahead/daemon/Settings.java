package org.cicadahead.daemon;

import java.util.Set;
import org.cicadahead.model.Role;

/**
 * The settings file of a daemon. Immutable.
 *
 * @param daemon who the daemon is and which roles it has
 * @param health where health and metrics are served
 * @param log how the daemon logs
 * @param control the role {@code control}, or null
 * @param entry the role {@code entry}, or null
 * @param endpoint the role {@code endpoint}, or null
 */
public record Settings(
        DaemonSettings daemon,
        HealthSettings health,
        LogSettings log,
        ControlSettings control,
        EntrySettings entry,
        EndpointSettings endpoint) {

    /** Checks that the sections match the roles and sets defaults for those that are absent. */
    public Settings {
        Fields.required(daemon, "daemon", "a section [daemon]");
        Fields.required(health, "health", "a section [health]");
        log = Fields.orDefault(log, new LogSettings(null, null));
        Set<Role> roles = daemon.roles();
        checkSection(roles, Role.CONTROL, control);
        checkSection(roles, Role.ENTRY, entry);
        checkSection(roles, Role.ENDPOINT, endpoint);
        boolean needsControl = roles.contains(Role.ENTRY) || roles.contains(Role.ENDPOINT);
        if (needsControl && daemon.control().isEmpty()) {
            throw new FieldException("daemon.control", "expected at least one host:port of a control replica");
        }
    }

    private static void checkSection(Set<Role> roles, Role role, Object section) {
        boolean has = roles.contains(role);
        if (has && section == null) {
            throw new FieldException(role.code(), "expected a section [" + role.code() + "] for the role");
        }
        if (!has && section != null) {
            throw new FieldException(role.code(), "expected no section of a role that daemon.roles does not name");
        }
    }
}
