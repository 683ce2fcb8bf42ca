package org.cicadahead.testbed.soak;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.ManagedProcess;
import org.cicadahead.testbed.fleet.Ports;

/** The processes of a small deployment, each at a loopback address of its own. */
final class SoakFleet implements Closeable {
    private static final int FIRST_HOST = 11;
    private static final long EXIT_MILLIS = 10_000;
    /** The time without a disturbance after which processes are in touch, in milliseconds; from the platform. */
    static final long CONTACT_MILLIS = 3_000;
    /** The exit codes of a planned stop: of an orderly end and of a JVM that SIGTERM ends. */
    private static final List<Integer> PLANNED_CODES = List.of(0, 143);

    private final Path folder;
    private final Path jar;
    private final SoakJudge judge;
    private final int entryCount;
    private final int hubCount;
    private final int peerPort = Ports.free();
    private final int controlPort = Ports.free();
    private final int callerPort = Ports.free();
    private final int readyPort = Ports.free();
    private final List<Member> members = new ArrayList<>();

    /** A process with its settings. */
    final class Member {
        final String role;
        final String host;
        final ManagedProcess process;
        private final Path settings;
        private volatile long disturbedMillis;
        private volatile long bootedLogBytes;
        private volatile int starts;
        private volatile long touchedMillis;
        private volatile boolean stopping;
        private volatile boolean frozen;

        Member(String role, int number) {
            this.role = role;
            this.host = "127.0.77." + (FIRST_HOST + members.size());
            this.settings = folder.resolve(role + number + ".json");
            this.process = new ManagedProcess(
                    role + number,
                    List.of(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx96m",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-jar",
                            jar.toString(),
                            role,
                            "--settings",
                            settings.toString()),
                    folder.resolve(role + number + ".log"));
        }

        boolean hasDisk() {
            return !role.equals("entry");
        }

        /** Removes all files that the process has written; it must not run. */
        void loseDisk() throws FleetException {
            if (!Files.exists(data(this))) {
                // The process was killed before it could create its folder.
                return;
            }
            try (Stream<Path> files = Files.walk(data(this))) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            } catch (IOException e) {
                throw new FleetException("cannot empty " + data(this), e);
            }
        }

        synchronized void start(boolean first) throws FleetException {
            writeSettings(first);
            bootedLogBytes = logBytes() + 1;
            starts++;
            touchedMillis = SoakJudge.now();
            process.start();
            stopping = false;
        }

        void kill() throws FleetException {
            checkAlive();
            disturbed();
            stopping = true;
            process.kill();
        }

        void terminate() throws FleetException {
            checkAlive();
            touchedMillis = SoakJudge.now();
            if (!stopping || process.isAlive()) {
                stopping = true;
                process.terminate();
            }
        }

        void freeze() throws FleetException {
            checkAlive();
            disturbed();
            frozen = true;
            process.freeze();
        }

        void thaw() throws FleetException {
            disturbed();
            process.thaw();
            frozen = false;
        }

        /** Reports a process that has ended although nothing from outside has ended it. */
        void checkAlive() {
            if (starts > 0 && !stopping && !process.isAlive()) {
                stopping = true;
                judge.violation(process.name() + "#" + starts + " ended by itself with code " + process.exitCode());
            }
        }

        /** Reports a planned stop that ended with the code of a failure. */
        void checkPlannedExit() {
            if (!process.isAlive() && !PLANNED_CODES.contains(process.exitCode())) {
                judge.violation(
                        process.name() + "#" + starts + " ended its planned stop with code " + process.exitCode());
            }
        }

        /** Returns whether the process has run for the contact time without a start, a stop, a kill or a freeze. */
        boolean isInTouch(long nowMillis) {
            return !stopping && !frozen && touchedMillis < nowMillis - CONTACT_MILLIS;
        }

        /** Returns how often the process has been started. */
        int starts() {
            return starts;
        }

        /** Returns whether the process has not yet logged its first line, so that no code of the role may run yet. */
        private boolean isBooting() {
            return logBytes() < bootedLogBytes;
        }

        private long logBytes() {
            return process.log().toFile().length();
        }

        /**
         * Writes the settings anew and sends SIGHUP. A JVM that has not yet come to its own code would end at the
         * signal, as any program does, and is left alone.
         */
        synchronized void reload() throws FleetException {
            if (!isBooting()) {
                writeSettings(false);
                process.hangUp();
            }
        }

        /** Writes the settings anew while the process runs or not. */
        void writeSettings(boolean first) throws FleetException {
            try {
                Files.writeString(settings, settings(this, first));
            } catch (IOException e) {
                throw new FleetException("cannot write " + settings, e);
            }
        }

        /** Notes that the process is killed, frozen or thawed now, so that it may lose requests. */
        private void disturbed() {
            disturbedMillis = SoakJudge.now();
            touchedMillis = disturbedMillis;
        }

        /** Returns whether the process was neither killed, frozen nor thawed since a time. */
        boolean calmSince(long millis) {
            return disturbedMillis < millis;
        }
    }

    SoakFleet(Path folder, Path jar, int hubs, int stores, int entries, SoakJudge judge) throws FleetException {
        this.judge = judge;
        this.folder = folder;
        this.jar = jar;
        this.hubCount = hubs;
        this.entryCount = entries;
        add("hub", hubs);
        add("store", stores);
        add("entry", entries);
    }

    void startAll() throws FleetException {
        for (Member member : members) {
            member.start(true);
        }
    }

    List<Member> role(String role) {
        return members.stream().filter(member -> member.role.equals(role)).toList();
    }

    List<Member> members() {
        return List.copyOf(members);
    }

    /** Returns whether each hub and each entry was started again, stopped, killed or frozen since a time. */
    boolean isKnowledgeLostSince(long millis) {
        return members.stream()
                .filter(member -> !member.role.equals("store"))
                .allMatch(member -> member.touchedMillis >= millis);
    }

    /** Returns whether no hub and no store was disturbed for the contact time. */
    boolean isCoreStable(long nowMillis) {
        return members.stream().allMatch(member -> !member.hasDisk() || member.isInTouch(nowMillis));
    }

    /** Returns the address for operators and endpoints of a hub drawn at random. */
    String anyControl(Random random) {
        return role("hub").get(random.nextInt(hubCount)).host + ":" + controlPort;
    }

    Member anyEntry(Random random) {
        return role("entry").get(random.nextInt(entryCount));
    }

    String callers(Member entry) {
        return entry.host + ":" + callerPort;
    }

    @Override
    public void close() {
        for (Member member : members) {
            try {
                if (member.process.isAlive()) {
                    member.process.thaw();
                    member.process.kill();
                    member.process.awaitExit(EXIT_MILLIS);
                }
            } catch (FleetException e) {
                System.err.println("soak: " + e.getMessage());
            }
        }
    }

    private void add(String role, int count) {
        for (int i = 0; i < count; i++) {
            members.add(new Member(role, i));
        }
    }

    private Path data(Member member) {
        return folder.resolve("data-" + member.process.name());
    }

    private String settings(Member member, boolean first) {
        StringBuilder seeds = new StringBuilder();
        for (Member hub : role("hub")) {
            seeds.append(seeds.length() == 0 ? "" : ",")
                    .append('"')
                    .append(hub.host)
                    .append(':')
                    .append(controlPort)
                    .append('"');
        }
        return "{\"node_name\":\"" + member.process.name() + "\",\"zone\":\"z\",\"ip\":\"" + member.host
                + "\",\"listen\":{\"front\":\"" + member.host + ":" + callerPort + "\",\"ready\":\"" + member.host + ":"
                + readyPort + "\",\"control\":\"" + member.host + ":" + controlPort + "\"},\"port_range\":[" + peerPort
                + "," + (peerPort + 1) + "],\"seeds\":[" + seeds + "],\"bootstrap\":" + first + ",\"data_dir\":\""
                + data(member) + "\",\"heartbeat_ms\":500,"
                + "\"fault_tolerance\":{\"machines\":1},\"bounds\":{\"grace_s\":8}}";
    }
}
