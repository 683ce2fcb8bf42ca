package org.cicadahead.daemon;

import com.codahale.metrics.MetricRegistry;
import org.cicadahead.model.Role;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;

/** Starts the roles of a daemon. */
interface RoleStarter {

    /**
     * Starts a role.
     *
     * @param role the role
     * @param settings the settings, which contain a section for the role
     * @param metrics the registry for the metrics of the role
     * @return the node that runs the role
     * @throws NodeException if the role cannot start
     */
    Node start(Role role, Settings settings, MetricRegistry metrics) throws NodeException;
}
