package org.cicadahead.control;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.Role;
import org.cicadahead.model.ZoneName;
import org.cicadahead.node.NodeException;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.wire.TestPorts;

/** The configuration of a replica on the loopback interface. It can be started several times on the same folder. */
record TestReplica(String name, Path folder, int port, int adminPort, List<String> members) {

    static TestReplica create(Path folder) throws IOException {
        return group(folder, 1).get(0);
    }

    static List<TestReplica> group(Path folder, int size) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < 2 * size; i++) {
            ports.add(TestPorts.free());
        }
        List<String> members =
                ports.subList(0, size).stream().map(p -> "127.0.0.1:" + p).toList();
        List<TestReplica> group = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            group.add(new TestReplica("c" + i, folder.resolve("c" + i), ports.get(i), ports.get(size + i), members));
        }
        return group;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    ControlNode start() throws NodeException {
        return ControlNode.start(config(), new MetricRegistry());
    }

    /**
     * Starts a replica that takes snapshots often and keeps few log entries, so that a restart or a follower needs a
     * snapshot.
     */
    ControlNode startWithSnapshots() throws NodeException {
        ReplicationConfig replication = ReplicationConfig.of(folder.resolve("log"), address(), members, true)
                .withSnapshots(20, 5);
        return ControlNode.start(config(), new MetricRegistry(), replication);
    }

    private ControlConfig config() {
        return new ControlConfig(
                new DaemonInfo(DaemonId.of(name), Set.of(Role.CONTROL), ZoneName.of("a"), 1, address()),
                folder,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), adminPort),
                "127.0.0.1:" + adminPort,
                "secret",
                members,
                true,
                4);
    }
}
