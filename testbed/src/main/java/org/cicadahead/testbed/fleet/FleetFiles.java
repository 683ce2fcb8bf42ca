package org.cicadahead.testbed.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Writes the settings files of a fleet below one folder. */
final class FleetFiles {
    private static final String ADMIN_TOKEN = "admin-of-the-test-bed";
    private static final List<String> ZONES = List.of("a", "b", "c");

    private final Path folder;

    FleetFiles(Path folder) throws FleetException {
        this.folder = folder;
        try {
            Files.createDirectories(folder);
            Files.writeString(token(), ADMIN_TOKEN + "\n");
        } catch (IOException e) {
            throw new FleetException("cannot write below " + folder, e);
        }
    }

    Path token() {
        return folder.resolve("admin-token");
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    Path data(String name) {
        return folder.resolve(name + ".data");
    }

    /** Writes a file and returns its path. */
    Path write(String name, String text) throws FleetException {
        Path file = folder.resolve(name);
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new FleetException("cannot write " + file, e);
        }
        return file;
    }

    /** Deletes the durable files of a replica, as the loss of its disk does. */
    void empty(String name) throws FleetException {
        Path data = data(name);
        if (!Files.exists(data)) {
            return;
        }
        try (Stream<Path> files = Files.walk(data)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new FleetException("cannot empty " + data, e);
        }
    }

    Path control(String name, int number, Address peers, int admin, int health, List<Integer> members)
            throws FleetException {
        String text = daemon(name, "control", number, List.of(), health)
                + """

                [control]
                listen = "127.0.0.1:%d"
                address = "127.0.0.1:%d"
                data_folder = "%s"
                admin_listen = "127.0.0.1:%d"
                admin_token_file = "%s"
                initial_members = [%s]
                bootstrap = true
                """.formatted(peers.listen, peers.reached, data(name), admin, token(), addresses(members));
        return write(name + ".toml", text);
    }

    Path entry(String name, int number, int listen, int health, List<Integer> control) throws FleetException {
        String text = daemon(name, "entry", number, control, health) + """

                [entry]
                listen = "127.0.0.1:%d"
                """.formatted(listen);
        return write(name + ".toml", text);
    }

    Path endpoint(String name, int number, EndpointPlan plan, int health, List<Integer> control) throws FleetException {
        String text = daemon(name, "endpoint", number, control, health)
                + """

                [endpoint]
                id = "%s"
                kind = "%s"
                pools = ["%s"]
                models = [%s]
                target = "http://127.0.0.1:%d"
                listen = "127.0.0.1:%d"
                address = "127.0.0.1:%d"
                capacity = %d
                """.formatted(
                                plan.id,
                                plan.kind,
                                plan.pool,
                                plan.models,
                                plan.target,
                                plan.address.listen,
                                plan.address.reached,
                                plan.capacity);
        return write(name + ".toml", text);
    }

    private static String daemon(String name, String role, int number, List<Integer> control, int health) {
        return """
                [daemon]
                id = "%s"
                roles = ["%s"]
                zone = "%s"
                control = [%s]

                [health]
                listen = "127.0.0.1:%d"
                """.formatted(name, role, ZONES.get(number % ZONES.size()), addresses(control), health);
    }

    private static String addresses(List<Integer> ports) {
        return ports.stream().map(port -> "\"127.0.0.1:" + port + "\"").collect(Collectors.joining(", "));
    }

    /** Where a daemon listens and where others reach it; the ports differ if a link is between. */
    record Address(int listen, int reached) {}

    /** What an endpoint daemon serves. */
    record EndpointPlan(
            String id, String kind, String pool, String models, int target, Address address, int capacity) {}
}
