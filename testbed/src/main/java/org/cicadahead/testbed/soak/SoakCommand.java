package org.cicadahead.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.cicadahead.testbed.fleet.Binaries;
import org.cicadahead.testbed.fleet.FleetException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the roles of the platform path as processes, disturbs them from outside and checks what both ends see. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Runs hubs, stores and entries under random faults and checks their promises.")
public final class SoakCommand implements Callable<Integer> {
    private static final double LIMIT_PER_SECOND = 4;
    /** One of this number of endpoints leaves by turns. */
    private static final int LEAVING_ENDPOINTS = 4;
    /** A run whose seed is a multiple of this disturbs entries by planned stops alone. */
    private static final int CALM_SEEDS = 3;
    /** The time after the faults in which entries must know the requests that crash endpoints, in milliseconds. */
    private static final long IN_TOUCH_MILLIS = SoakFleet.CONTACT_MILLIS + 5_000;

    private static final int STEADY_CALLERS = 4;
    private static final int SPENDERS = 3;
    private static final long WATCH_MILLIS = 20;
    /** The delay of a thread after which the soak counts as stalled, in milliseconds. */
    private static final long STALL_MILLIS = 60;

    /** The time without disturbance of an entry after which the check of request limits applies, in milliseconds. */
    private static final long CALM_MILLIS = 8_000;

    private static final long HEARTBEAT_MILLIS = 500;
    private static final long CHANGE_MILLIS = 1_500;
    private static final long START_LIMIT_MILLIS = 30_000;
    private static final long RECOVER_LIMIT_MILLIS = 15_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    @Option(names = "--seed", defaultValue = "1", description = "Draws the faults. Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--seconds", defaultValue = "20", description = "How long faults go on. Default: ${DEFAULT-VALUE}.")
    private long seconds;

    @Option(names = "--hubs", defaultValue = "3", description = "The number of hubs. Default: ${DEFAULT-VALUE}.")
    private int hubs;

    @Option(names = "--stores", defaultValue = "3", description = "The number of stores. Default: ${DEFAULT-VALUE}.")
    private int stores;

    @Option(names = "--entries", defaultValue = "2", description = "The number of entries. Default: ${DEFAULT-VALUE}.")
    private int entries;

    @Option(
            names = "--endpoints",
            defaultValue = "8",
            description = "The number of endpoints. Default: ${DEFAULT-VALUE}.")
    private int endpointCount;

    @Option(names = "--callers", defaultValue = "6", description = "The number of callers. Default: ${DEFAULT-VALUE}.")
    private int callers;

    @Option(names = "--pass-over-known", description = "Prints violations in KNOWN-RED.txt and does not count them.")
    private boolean passOverKnown;

    private final AtomicBoolean calling = new AtomicBoolean(true);
    private final AtomicBoolean disturbing = new AtomicBoolean(true);
    private final SoakJudge judge = new SoakJudge();

    /** Creates the command. */
    public SoakCommand() {}

    @Override
    public Integer call() throws FleetException, IOException, InterruptedException {
        Path folder = Files.createTempDirectory("soak");
        System.out.printf("soak: seed %d, %d s, logs in %s%n", seed, seconds, folder);
        Path root = Binaries.locate().root();
        Path jar = root.resolve("target").resolve("cicadahead-platform.jar");
        SoakKnown known = passOverKnown ? SoakKnown.read(root.resolve("KNOWN-RED.txt")) : SoakKnown.of(List.of());
        List<SoakEndpoint> endpoints = new ArrayList<>();
        try (SoakFleet fleet = new SoakFleet(folder, jar, hubs, stores, entries, judge)) {
            for (int i = 0; i < endpointCount; i++) {
                endpoints.add(endpoint(i, fleet));
            }
            fleet.startAll();
            play(fleet, endpoints);
        } finally {
            for (SoakEndpoint endpoint : endpoints) {
                endpoint.close();
            }
        }
        List<String> violations = new ArrayList<>();
        for (String text : judge.verdict()) {
            System.out.println((known.lists(text) ? "soak: KNOWN " : "soak: VIOLATION ") + text);
            if (!known.lists(text)) {
                violations.add(text);
            }
        }
        System.out.println("soak: " + judge.summary());
        System.out.println((violations.isEmpty() ? 1 : 0) + " passed, " + (violations.isEmpty() ? 0 : 1) + " failed");
        return violations.isEmpty() ? 0 : 1;
    }

    /**
     * Starts an endpoint; endpoints differ in their version by turns, every other pair of them states limits, and the
     * last of four leaves by turns.
     */
    private SoakEndpoint endpoint(int number, SoakFleet fleet) throws FleetException {
        String id = "endpoint-" + number;
        SoakLimit limit = new SoakLimit(
                id,
                number / 2 % 2 == 0 ? LIMIT_PER_SECOND : 0,
                judge,
                () -> fleet.role("entry").stream().allMatch(entry -> entry.calmSince(SoakJudge.now() - CALM_MILLIS)));
        SoakDeparture departure = new SoakDeparture(id, number % LEAVING_ENDPOINTS == LEAVING_ENDPOINTS - 1, judge);
        return SoakEndpoint.start(id, "v" + number % 2, limit, departure, judge);
    }

    private void play(SoakFleet fleet, List<SoakEndpoint> endpoints) throws FleetException, InterruptedException {
        SoakHttp http = SoakHttp.start();
        judge.coreStable(fleet::isCoreStable);
        judge.knowledgeLostSince(fleet::isKnowledgeLostSince);
        SoakOperator operator = new SoakOperator(fleet, http, judge, new Random(seed));
        begin(operator, endpoints);
        List<Thread> threads = new ArrayList<>();
        SoakClient client = client(fleet, http, endpoints);
        for (int i = 0; i < callers; i++) {
            threads.add(thread(new SoakCaller(i, client, new Random(seed + i), calling::get)));
        }
        await("the first program", START_LIMIT_MILLIS, operator, endpoints, () -> judge.servedSoFar() > callers);
        threads.addAll(startHarmful(fleet, http, endpoints));
        List<Thread> faults = new ArrayList<>();
        List<ProcessFault> all = List.of(ProcessFault.values());
        List<ProcessFault> entryFaults = seed % CALM_SEEDS == 0 ? ProcessFault.PLANNED : ProcessFault.WITHOUT_DISK;
        faults.add(disturb(fleet.role("hub"), all, endpoints, 1));
        faults.add(disturb(fleet.role("store"), all, endpoints, 2));
        faults.add(disturb(fleet.role("entry"), entryFaults, endpoints, 3));
        faults.add(disturb(List.of(), List.of(), endpoints, 4));
        faults.add(thread(new SoakReloads(fleet.members(), new Random(seed * 31 + 5), disturbing::get)));
        long until = SoakJudge.now() + seconds * MILLIS_PER_SECOND;
        operate(operator, endpoints, () -> SoakJudge.now() >= until);
        disturbing.set(false);
        for (Thread fault : faults) {
            fault.join();
        }
        int before = judge.servedSoFar();
        await(
                "service after the faults",
                RECOVER_LIMIT_MILLIS,
                operator,
                endpoints,
                () -> judge.servedSoFar() > before + callers);
        await("a read after the faults", RECOVER_LIMIT_MILLIS, operator, endpoints, operator::read);
        long inTouchUntil = SoakJudge.now() + IN_TOUCH_MILLIS;
        operate(operator, endpoints, () -> SoakJudge.now() >= inTouchUntil);
        calling.set(false);
        for (Thread each : threads) {
            each.join();
        }
    }

    private SoakClient client(SoakFleet fleet, SoakHttp http, List<SoakEndpoint> endpoints) {
        return new SoakClient(
                fleet,
                http,
                judge,
                (request, name) -> endpoints.forEach(each -> each.departure().stated(request, name, SoakJudge.now())));
    }

    /** Starts the callers that stay at stopping entries, spend budgets and crash endpoints. */
    private List<Thread> startHarmful(SoakFleet fleet, SoakHttp http, List<SoakEndpoint> endpoints)
            throws FleetException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STEADY_CALLERS; i++) {
            // Each has connections of its own, which no other caller closes.
            SoakClient own = client(fleet, SoakHttp.start(), endpoints);
            threads.add(thread(new SoakSteadyCaller(i, own, new Random(seed - i), calling::get)));
        }
        SoakClient client = client(fleet, http, endpoints);
        for (int i = 0; i < SPENDERS; i++) {
            threads.add(thread(new SoakSpender(i, client, new Random(seed * 31 + i), calling::get)));
        }
        for (String route : List.of("plain", "resume", "once")) {
            threads.add(thread(new SoakCrasher(route, client, new Random(seed + route.hashCode()), calling::get)));
        }
        threads.add(thread(() -> watch(fleet)));
        return threads;
    }

    /** Reports processes that end by themselves, and times at which the soak itself is not run. */
    private void watch(SoakFleet fleet) {
        try {
            while (calling.get()) {
                fleet.members().forEach(SoakFleet.Member::checkAlive);
                long before = SoakJudge.now();
                Thread.sleep(WATCH_MILLIS);
                if (SoakJudge.now() > before + WATCH_MILLIS + STALL_MILLIS) {
                    judge.stalled(before, SoakJudge.now());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a series of faults; links of endpoints are disturbed if there are no members. */
    private Thread disturb(
            List<SoakFleet.Member> members, List<ProcessFault> kinds, List<SoakEndpoint> endpoints, int series) {
        Random random = new Random(seed * 31 + series);
        return thread(new SoakFaults(members, kinds, endpoints, judge, random, disturbing::get));
    }

    private void begin(SoakOperator operator, List<SoakEndpoint> endpoints) throws InterruptedException {
        await("the first configuration", START_LIMIT_MILLIS, operator, List.of(), operator::change);
        endpoints.forEach(operator::heartbeat);
    }

    /** Changes the configuration, reads it and sends heartbeats of the endpoints until a condition holds. */
    private static void operate(SoakOperator operator, List<SoakEndpoint> endpoints, BooleanSupplier ended)
            throws InterruptedException {
        long changeDue = SoakJudge.now();
        while (!ended.getAsBoolean()) {
            endpoints.forEach(operator::heartbeat);
            operator.read();
            if (SoakJudge.now() >= changeDue) {
                operator.changeInSeries();
                changeDue = SoakJudge.now() + CHANGE_MILLIS;
            }
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }

    private void await(
            String what,
            long limitMillis,
            SoakOperator operator,
            List<SoakEndpoint> endpoints,
            BooleanSupplier condition)
            throws InterruptedException {
        long limit = SoakJudge.now() + limitMillis;
        operate(operator, endpoints, () -> SoakJudge.now() >= limit || condition.getAsBoolean());
        if (SoakJudge.now() >= limit && !condition.getAsBoolean()) {
            judge.violation("not in time: " + what);
        }
    }

    private static Thread thread(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
