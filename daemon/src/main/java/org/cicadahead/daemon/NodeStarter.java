package org.cicadahead.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.Set;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.Role;
import org.cicadahead.model.ZoneName;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.protocol.DaemonInfo;

/** Starts roles through their facades. */
final class NodeStarter implements RoleStarter {

    @Override
    public Node start(Role role, Settings settings, MetricRegistry metrics) throws NodeException {
        throw new NodeException("the role " + role.code() + " is not built yet", null);
    }

    private static DaemonInfo info(Settings settings, String address) {
        DaemonSettings daemon = settings.daemon();
        return new DaemonInfo(
                DaemonId.of(daemon.id()),
                Set.copyOf(daemon.roles()),
                ZoneName.of(daemon.zone()),
                System.currentTimeMillis(),
                address);
    }
}
