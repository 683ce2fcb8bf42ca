package org.cicadahead.daemon;

import java.util.Set;
import org.cicadahead.model.Role;

/**
 * The contents of the settings file of a daemon. Immutable.
 *
 * @param daemon the identity and roles of the daemon
 * @param health the settings of the health and metrics server
 * @param log the settings of logging; text at level info by default
 * @param control the settings of the role {@code control}, or null if the daemon does not run it
 * @param entry the settings of the role {@code entry}, or null if the daemon does not run it
 * @param endpoint the settings of the role {@code endpoint}, or null if the daemon does not run it
 */
public record Settings(
        DaemonSettings daemon,
        HealthSettings health,
        LogSettings log,
        ControlSettings control,
        EntrySettings entry,
        EndpointSettings endpoint) {

    /** Checks that the sections match the roles and sets the default for an absent section {@code [log]}. */
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
        boolean hasRole = roles.contains(role);
        if (hasRole && section == null) {
            throw new FieldException(role.code(), "expected a section [" + role.code() + "] for the role");
        }
        if (!hasRole && section != null) {
            throw new FieldException(role.code(), "expected no section of a role that daemon.roles does not name");
        }
    }
}
