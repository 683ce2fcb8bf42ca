package org.cicadahead.testbed.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.cicadahead.testbed.fleet.FleetFiles.Address;
import org.cicadahead.testbed.fleet.FleetFiles.EndpointPlan;

/**
 * The processes of a whole deployment on the loopback address, each a real process. Safe for use by several threads.
 *
 * <p>Members are named {@code control-1}, {@code entry-1}, {@code engine-1}, {@code service-1} and, for the daemons
 * beside them, {@code endpoint-engine-1} and {@code endpoint-service-1}. The first use is
 * {@link #create(Path, FleetShape)}, then {@link #startAll(long)}.
 */
public final class Fleet implements AutoCloseable {
    /** The pool of the emulated engines. */
    public static final String ENGINE_POOL = "planning";
    /** The pool of the emulated services. */
    public static final String SERVICE_POOL = "booking";
    /** The model that the emulated engines serve. */
    public static final String MODEL = "assistant";

    private static final int ENGINE_CAPACITY = 32;
    private static final int SERVICE_CAPACITY = 16;
    private static final long CTL_TIMEOUT_MILLIS = 30_000;
    private static final long EXIT_TIMEOUT_MILLIS = 40_000;

    private final Binaries binaries;
    private final FleetFiles files;
    private final boolean linked;
    private final Map<String, Member> members = Collections.synchronizedMap(new LinkedHashMap<>());
    private final Map<String, FaultyLink> links = new ConcurrentHashMap<>();
    private final List<Integer> adminPorts = new ArrayList<>();
    private final Thread killer = new Thread(this::killAll, "fleet-killer");

    private Fleet(Binaries binaries, FleetFiles files, boolean linked) {
        this.binaries = binaries;
        this.files = files;
        this.linked = linked;
    }

    /**
     * Writes the settings of a fleet and starts no process.
     *
     * @param folder an empty folder for settings, logs and data
     * @param shape how many processes of each kind
     * @return the fleet
     * @throws FleetException if the binaries are not built or no ports are free
     */
    public static Fleet create(Path folder, FleetShape shape) throws FleetException {
        Fleet fleet = new Fleet(Binaries.locate(), new FleetFiles(folder.toAbsolutePath()), shape.linked());
        List<Address> controls = new ArrayList<>();
        for (int number = 1; number <= shape.controls(); number++) {
            controls.add(fleet.address("control-" + number));
        }
        List<Integer> reached = controls.stream().map(Address::reached).toList();
        for (int number = 1; number <= shape.controls(); number++) {
            fleet.addControl(number, controls.get(number - 1), reached);
        }
        for (int number = 1; number <= shape.engines(); number++) {
            fleet.addEndpoint("engine", number, reached);
        }
        for (int number = 1; number <= shape.services(); number++) {
            fleet.addEndpoint("service", number, reached);
        }
        for (int number = 1; number <= shape.entries(); number++) {
            fleet.addEntry(number, reached);
        }
        Runtime.getRuntime().addShutdownHook(fleet.killer);
        return fleet;
    }

    /**
     * Starts all processes and waits until each is ready.
     *
     * @param timeoutMillis how long to wait at most, in milliseconds
     * @throws FleetException if a process cannot be started or is not ready in time
     */
    public void startAll(long timeoutMillis) throws FleetException {
        for (Member member : all()) {
            member.process().start();
        }
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        for (Member member : all()) {
            awaitReady(member, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
        }
    }

    /**
     * Waits until a member is ready.
     *
     * @param member the member
     * @param timeoutMillis how long to wait at most, in milliseconds
     * @throws FleetException if it is not ready in time or has ended
     */
    public void awaitReady(Member member, long timeoutMillis) throws FleetException {
        ManagedProcess process = member.process();
        Polling.await(timeoutMillis, () -> member.isReady() || !process.isAlive());
        if (!member.isReady()) {
            String state = process.isAlive() ? "is not ready" : "ended with exit code " + process.exitCode();
            throw new FleetException(process.name() + " " + state + "; its log is " + process.log(), null);
        }
    }

    /**
     * Returns a member.
     *
     * @param name the name
     * @return the member
     * @throws IllegalArgumentException if there is none with the name
     */
    public Member member(String name) {
        Member member = members.get(name);
        if (member == null) {
            throw new IllegalArgumentException("There is no member " + name);
        }
        return member;
    }

    /**
     * Returns the members whose names start with a prefix, in the order in which they start.
     *
     * @param prefix for example {@code entry-}
     * @return the members
     */
    public List<Member> named(String prefix) {
        return all().stream()
                .filter(member -> member.process().name().startsWith(prefix))
                .toList();
    }

    /**
     * Returns the link in front of a control replica or an endpoint daemon.
     *
     * @param name the name of the member
     * @return the link
     * @throws IllegalStateException if the fleet has no links
     */
    public FaultyLink link(String name) {
        FaultyLink link = links.get(name);
        if (link == null) {
            throw new IllegalStateException("There is no link to " + name);
        }
        return link;
    }

    /**
     * Cuts a member off silently from other daemons, in both directions.
     *
     * @param name the name of the member
     * @param others the beginning of the names of the others, empty for all
     */
    public void isolate(String name, String others) {
        long pid = member(name).process().pid();
        Map<Integer, Boolean> owned = new ConcurrentHashMap<>();
        links.forEach((target, link) -> {
            if (target.equals(name)) {
                link.cut();
            } else if (target.startsWith(others)) {
                link.cutFrom(port -> owned.computeIfAbsent(port, p -> SocketOwners.owns(pid, p)));
            }
        });
    }

    /** Ends all cuts of all links. */
    public void heal() {
        links.values().forEach(FaultyLink::heal);
    }

    /**
     * Deletes the durable files of an ended control replica.
     *
     * @param name the name of the member
     * @throws FleetException if the replica runs or the files cannot be deleted
     */
    public void emptyDisk(String name) throws FleetException {
        if (member(name).process().isAlive()) {
            throw new FleetException(name + " runs", null);
        }
        files.empty(name);
    }

    /**
     * Writes a file into the folder of the fleet.
     *
     * @param name the name of the file
     * @param text its content
     * @return the file
     * @throws FleetException if it cannot be written
     */
    public Path write(String name, String text) throws FleetException {
        return files.write(name, text);
    }

    /**
     * Returns the admin addresses of the replicas.
     *
     * @return addresses as {@code host:port}, separated by commas
     */
    public String adminAddresses() {
        return String.join(
                ",", adminPorts.stream().map(port -> "127.0.0.1:" + port).toList());
    }

    /**
     * Returns the file with the bearer token of operators.
     *
     * @return the file
     */
    public Path adminToken() {
        return files.token();
    }

    /**
     * Runs {@code cicadactl} against the fleet.
     *
     * @param arguments the arguments without the addresses and the token
     * @return the result
     * @throws FleetException if it cannot be run
     */
    public CtlResult ctl(String... arguments) throws FleetException {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of(
                "--admin", adminAddresses(), "--token-file", files.token().toString()));
        try {
            Process process = new ProcessBuilder(JvmProfile.TOOL.command(binaries.ctl(), all))
                    .redirectErrorStream(true)
                    .start();
            process.getOutputStream().close();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!process.waitFor(CTL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
                throw new FleetException("cicadactl does not end", null);
            }
            return new CtlResult(process.exitValue(), output);
        } catch (IOException e) {
            throw new FleetException("cicadactl cannot be run", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted while running cicadactl", e);
        }
    }

    /**
     * Shuts all daemons down gracefully: entries first, control last. Emulators are ended at once.
     *
     * @return the exit codes of the daemons by name
     * @throws FleetException if a daemon does not end in time
     */
    public Map<String, Integer> shutdown() throws FleetException {
        Map<String, Integer> codes = new HashMap<>();
        for (String prefix : List.of("entry-", "endpoint-", "control-")) {
            List<Member> running = named(prefix).stream()
                    .filter(member -> member.process().isAlive())
                    .toList();
            for (Member member : running) {
                member.process().terminate();
            }
            for (Member member : running) {
                if (!member.process().awaitExit(EXIT_TIMEOUT_MILLIS)) {
                    throw new FleetException(member.process().name() + " does not shut down", null);
                }
                codes.put(member.process().name(), member.process().exitCode());
            }
        }
        return codes;
    }

    /** Ends what still runs at once and closes the links. */
    @Override
    public void close() {
        killAll();
        links.values().forEach(FaultyLink::close);
        try {
            Runtime.getRuntime().removeShutdownHook(killer);
        } catch (IllegalStateException e) {
            System.getLogger("cicadahead.testbed").log(System.Logger.Level.DEBUG, "the JVM is shutting down", e);
        }
    }

    private List<Member> all() {
        synchronized (members) {
            return List.copyOf(members.values());
        }
    }

    private void killAll() {
        for (Member member : all()) {
            try {
                member.process().kill();
            } catch (FleetException e) {
                System.getLogger("cicadahead.testbed").log(System.Logger.Level.WARNING, "cannot end a process", e);
            }
        }
    }

    private Address address(String name) throws FleetException {
        int listen = Ports.free();
        if (!linked) {
            return new Address(listen, listen);
        }
        FaultyLink link = FaultyLink.start(Ports.free(), listen);
        links.put(name, link);
        return new Address(listen, link.port());
    }

    private void addControl(int number, Address peers, List<Integer> replicas) throws FleetException {
        String name = "control-" + number;
        int admin = Ports.free();
        int health = Ports.free();
        adminPorts.add(admin);
        add(name, JvmProfile.CONTROL, files.control(name, number, peers, admin, health, replicas), admin, health);
    }

    private void addEntry(int number, List<Integer> control) throws FleetException {
        String name = "entry-" + number;
        int listen = Ports.free();
        int health = Ports.free();
        add(name, JvmProfile.ENTRY, files.entry(name, number, listen, health, control), listen, health);
    }

    private void addEndpoint(String kind, int number, List<Integer> control) throws FleetException {
        String target = kind + "-" + number;
        boolean engine = kind.equals("engine");
        int targetPort = Ports.free();
        List<String> arguments = new ArrayList<>(List.of(kind, "--listen", "127.0.0.1:" + targetPort));
        if (engine) {
            arguments.addAll(List.of("--model", MODEL, "--seed", Integer.toString(number)));
        }
        List<String> command = JvmProfile.EMULATOR.command(binaries.testbed(), arguments);
        members.put(
                target,
                new Member(new ManagedProcess(target, command, files.log(target)), targetPort, targetPort, false));
        String name = "endpoint-" + target;
        EndpointPlan plan = new EndpointPlan(
                target,
                kind,
                engine ? ENGINE_POOL : SERVICE_POOL,
                engine ? "\"" + MODEL + "\"" : "",
                targetPort,
                address(name),
                engine ? ENGINE_CAPACITY : SERVICE_CAPACITY);
        int health = Ports.free();
        Path settings = files.endpoint(name, number, plan, health, control);
        add(name, JvmProfile.ENDPOINT, settings, plan.address().listen(), health);
    }

    private void add(String name, JvmProfile profile, Path settings, int port, int health) {
        List<String> command = profile.command(binaries.daemon(), List.of("--settings", settings.toString()));
        members.put(name, new Member(new ManagedProcess(name, command, files.log(name)), port, health, true));
    }
}
