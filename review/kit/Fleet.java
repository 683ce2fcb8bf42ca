import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment of the project's own programs, each a process with the command of its role in the deploy file, at
 * a loopback address of its own. Settings are those of the site resorte-vivo.
 */
final class Fleet implements AutoCloseable {
    final Path folder;
    final int peerPort = freePort();
    final int controlPort = freePort();
    final int frontPort = freePort();
    final int readyPort = freePort();
    final List<Member> members = new ArrayList<>();
    private final Record record;
    private final int net;

    /** A process of the deployment. */
    final class Member {
        final String role;
        final String name;
        final String host;
        final Path data;
        private Process process;
        int starts;

        Member(String role, String name, String host) {
            this.role = role;
            this.name = name;
            this.host = host;
            this.data = folder.resolve("data-" + name);
        }

        void start(boolean bootstrap) throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings(this, bootstrap));
            if (!role.equals("entry")) {
                Files.createDirectories(data);
            }
            ProcessBuilder builder = new ProcessBuilder(command(role));
            builder.environment().put("CICADAHEAD_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
            starts++;
            record.line("process %s started, pid %d", name, process.pid());
        }

        Path log() {
            return folder.resolve(name + ".log");
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        int exitCode() {
            return process.isAlive() ? -1 : process.exitValue();
        }

        long pid() {
            return process.pid();
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.line("process %s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }

        void kill() throws InterruptedException {
            if (process != null && process.isAlive()) {
                record.line("process %s gets SIGKILL", name);
                process.destroyForcibly();
                process.waitFor(10, TimeUnit.SECONDS);
            }
        }

        boolean logHolds(String text) {
            try {
                return Files.exists(log()) && Files.readString(log()).contains(text);
            } catch (IOException e) {
                return false;
            }
        }
    }

    Fleet(Record record, int hubs, int stores, int entries) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review");
        this.net = (int) (ProcessHandle.current().pid() % 200) + 20;
        add("hub", hubs);
        add("store", stores);
        add("entry", entries);
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    void startAll() throws IOException {
        for (Member member : members) {
            member.start(true);
        }
    }

    List<Member> role(String role) {
        return members.stream().filter(member -> member.role.equals(role)).toList();
    }

    String control(int hub) {
        return role("hub").get(hub).host + ":" + controlPort;
    }

    String front(int entry) {
        return role("entry").get(entry).host + ":" + frontPort;
    }

    String ready(int entry) {
        return role("entry").get(entry).host + ":" + readyPort;
    }

    /** Restarts processes that ended by themselves, as the platform does; returns how many ended. */
    int restartEnded() throws IOException {
        int ended = 0;
        for (Member member : members) {
            if (member.process != null && !member.process.isAlive()) {
                record.line("process %s ended by itself with code %d", member.name, member.exitCode());
                ended++;
                member.start(false);
            }
        }
        return ended;
    }

    @Override
    public void close() {
        for (Member member : members) {
            try {
                if (member.alive()) {
                    new ProcessBuilder("kill", "-CONT", Long.toString(member.pid())).start().waitFor();
                    member.process.destroyForcibly();
                    member.process.waitFor(10, TimeUnit.SECONDS);
                }
            } catch (IOException | InterruptedException e) {
                record.line("cannot end %s: %s", member.name, e);
            }
        }
        if (System.getenv("KEEP") != null) {
            record.line("logs kept");
            System.err.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            record.line("cannot remove the temporary folder: %s", e);
        }
    }

    /** The command of a role, as the deploy file gives it. */
    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(matcher.group(1).split(" "));
    }

    private void add(String role, int count) {
        for (int i = 0; i < count; i++) {
            members.add(new Member(role, role + "-" + (i + 1), "127.77." + net + "." + (11 + members.size())));
        }
    }

    private String settings(Member member, boolean bootstrap) {
        String zone = List.of("xela", "toto", "sanmarcos").get(members.indexOf(member) % 3);
        StringBuilder seeds = new StringBuilder();
        for (Member hub : role("hub")) {
            seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(hub.host + ":" + controlPort).append('"');
        }
        boolean entry = member.role.equals("entry");
        String type = entry ? "edge" : member.role.equals("hub") ? "core" : "storage";
        String listen = entry
                ? "{\"front\":\"" + member.host + ":" + frontPort + "\",\"ready\":\"" + member.host + ":" + readyPort
                        + "\"}"
                : member.role.equals("hub") ? "{\"control\":\"" + member.host + ":" + controlPort + "\"}" : "{}";
        return "{\"node_name\":\"" + member.name + "\",\"role\":\"" + member.role + "\",\"node_class\":\"" + type
                + "\",\"serves\":[\"" + (type.equals("core") ? "control" : type) + "\"],\"ip\":\"" + member.host
                + "\",\"zone\":\"" + zone + "\",\"region\":\"occidente\",\"zones\":{\"xela\":\"occidente\",\"toto\":"
                + "\"occidente\",\"sanmarcos\":\"occidente\"},\"listen\":" + listen + ",\"port_range\":[" + peerPort
                + "," + (peerPort + 15) + "],\"seeds\":[" + seeds + "],\"bootstrap\":" + bootstrap
                + ",\"loss_counts\":" + !entry + ",\"data_dir\":" + (entry ? "null" : "\"" + member.data + "\"")
                + ",\"discovery\":\"registry\",\"entry\":\"vip\",\"heartbeat_ms\":1200,"
                + "\"fault_tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{\"contact_ms\":3000,"
                + "\"drain_ms\":2000,\"grace_s\":8,\"config_apply_ms\":2000,\"quota_window_s\":5,"
                + "\"quota_overage\":0.1,\"quota_slack\":20,\"recover_s\":12},\"config_mode\":\"highest\"}";
    }
}
