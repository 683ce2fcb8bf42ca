package org.cicadahead.testbed.prove;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.cicadahead.testbed.fleet.Binaries;
import org.cicadahead.testbed.fleet.Fleet;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.FleetShape;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code prove}: runs the fault table on real processes. */
@Command(
        name = "prove",
        mixinStandardHelpOptions = true,
        description = "Runs the fault table on real processes; one line a case.")
public final class ProveCommand implements Callable<Integer> {
    private static final int CONTROLS = 3;
    private static final int ENTRIES = 2;
    private static final int ENGINES = 3;
    private static final int SERVICES = 2;
    private static final long READY_MILLIS = 40_000;

    @Option(names = "--seed", paramLabel = "N", description = "Makes the choices of the cases. Default: the time.")
    private Long seed;

    @Option(names = "--only", split = ",", paramLabel = "NAME", description = "Runs only the cases with these names.")
    private List<String> only = List.of();

    @Option(names = "--all", description = "Runs the slow cases too.")
    private boolean all;

    @Option(names = "--pass-over-known", description = "Prints the cases in KNOWN-RED.txt and does not run them.")
    private boolean passOverKnown;

    @Option(names = "--list", description = "Lists the cases and runs none.")
    private boolean list;

    @Override
    public Integer call() throws FleetException {
        List<FaultCase> cases = cases();
        if (list) {
            cases.forEach(one -> say("%-20s %s%s", one.name(), one.promise(), one.slow() ? " (slow)" : ""));
            return 0;
        }
        long chosen = seed == null ? System.currentTimeMillis() : seed;
        Path root = Binaries.locate().root();
        KnownRed known = KnownRed.read(root.resolve("KNOWN-RED.txt"));
        Path folder = root.resolve("run/prove-" + ProcessHandle.current().pid());
        say("seed %d, logs in run/%s", chosen, folder.getFileName());
        int passed = 0;
        int failed = 0;
        int unexpected = 0;
        for (FaultCase one : cases) {
            if (passOverKnown && known.lists(one)) {
                say("skip %-20s          %s: listed in KNOWN-RED.txt", one.name(), one.promise());
            } else if (run(one, folder.resolve(one.name()), chosen)) {
                passed++;
            } else {
                failed++;
                unexpected += known.lists(one) ? 0 : 1;
            }
        }
        say("%d passed, %d failed", passed, failed);
        return unexpected == 0 && passed + failed > 0 ? 0 : 1;
    }

    private List<FaultCase> cases() {
        List<FaultCase> cases = new ArrayList<>();
        cases.addAll(ControlCases.all());
        cases.addAll(DiskCases.all());
        cases.addAll(EntryCases.all());
        cases.addAll(EndpointCases.all());
        cases.addAll(OnceCases.all());
        cases.addAll(OperatorCases.all());
        cases.addAll(PairCases.all());
        cases.addAll(ToolCases.all());
        cases.removeIf(one -> only.isEmpty() ? one.slow() && !all && !list : !only.contains(one.name()));
        return cases;
    }

    private static boolean run(FaultCase one, Path folder, long seed) {
        long startNanos = System.nanoTime();
        String outcome;
        try (Fleet fleet = Fleet.create(folder, new FleetShape(CONTROLS, ENTRIES, ENGINES, SERVICES, one.linked()))) {
            fleet.startAll(READY_MILLIS);
            one.body().run(Scene.prepare(fleet, new Random(seed ^ one.name().hashCode())));
            outcome = "";
        } catch (FleetException | CaseFailure e) {
            outcome = e.getMessage();
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        say(
                "%s %-20s %5.1f s  %s%s",
                outcome.isEmpty() ? "pass" : "FAIL",
                one.name(),
                millis / 1e3,
                one.promise(),
                outcome.isEmpty() ? "" : ": " + outcome);
        return outcome.isEmpty();
    }

    private static void say(String format, Object... arguments) {
        System.out.println(String.format(format, arguments));
    }
}
