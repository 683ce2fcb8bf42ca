package org.cicadahead.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.Set;
import org.cicadahead.control.ControlNode;
import org.cicadahead.endpoint.EndpointNode;
import org.cicadahead.entry.EntryNode;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.Role;
import org.cicadahead.model.ZoneName;
import org.cicadahead.node.Node;
import org.cicadahead.node.NodeException;
import org.cicadahead.protocol.DaemonInfo;

/** Starts each role through the node class of its module. */
final class NodeStarter implements RoleStarter {
    /** The start time: all roles of this process share the generation, and a later start has a higher one. */
    private final long generation = System.currentTimeMillis();

    @Override
    public Node start(Role role, Settings settings, MetricRegistry metrics) throws NodeException {
        return switch (role) {
            case CONTROL -> startControl(settings, metrics);
            case ENTRY ->
                EntryNode.start(
                        settings.entry()
                                .toConfig(daemonInfo(settings, settings.entry().address()), settings.daemon()),
                        metrics);
            case ENDPOINT ->
                EndpointNode.start(
                        settings.endpoint()
                                .toConfig(
                                        daemonInfo(settings, settings.endpoint().address()), settings.daemon()),
                        metrics);
        };
    }

    private Node startControl(Settings settings, MetricRegistry metrics) throws NodeException {
        DaemonInfo daemonInfo = daemonInfo(settings, settings.control().address());
        try {
            return ControlNode.start(
                    settings.control().toConfig(daemonInfo, settings.daemon().workers()), metrics);
        } catch (SettingsException e) {
            throw new NodeException(e.getMessage(), e);
        }
    }

    private DaemonInfo daemonInfo(Settings settings, String address) {
        DaemonSettings daemon = settings.daemon();
        return new DaemonInfo(
                DaemonId.of(daemon.id()), Set.copyOf(daemon.roles()), ZoneName.of(daemon.zone()), generation, address);
    }
}
