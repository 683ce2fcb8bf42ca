package org.cicadahead.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.cicadahead.testbed.client.Answer;
import org.cicadahead.testbed.client.Caller;
import org.cicadahead.testbed.client.Turn;
import org.cicadahead.testbed.fleet.Binaries;
import org.cicadahead.testbed.fleet.Fleet;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.FleetShape;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code quickstart}: starts a small fleet and runs one program. */
@Command(
        name = "quickstart",
        mixinStandardHelpOptions = true,
        description = "Starts a fleet on the loopback address, runs a program and shuts the fleet down.")
final class QuickstartCommand implements Callable<Integer> {
    private static final long READY_MILLIS = 40_000;
    /** An accepted configuration is in force everywhere within this time, in milliseconds. */
    private static final long IN_FORCE_MILLIS = 3_000;

    private static final double RATE_PER_SECOND = 100;
    private static final long BURST = 100;
    private static final int MAX_TOKENS = 24;

    @Option(names = "--stay", description = "Keeps the fleet up and prints its addresses.")
    private boolean stay;

    @Option(names = "--controls", defaultValue = "3", description = "Control replicas. Default: ${DEFAULT-VALUE}.")
    private int controls;

    @Override
    public Integer call() throws FleetException {
        Path folder = Binaries.locate()
                .root()
                .resolve("run/quickstart-" + ProcessHandle.current().pid());
        long startNanos = System.nanoTime();
        try (Fleet fleet = Fleet.create(folder, new FleetShape(controls, 2, 2, 1, false))) {
            say("Starting %d processes; logs are in run/%s", fleet.named("").size(), folder.getFileName());
            fleet.startAll(READY_MILLIS);
            say("All processes are ready after %d ms", millisSince(startNanos));
            System.out.print(ExampleResources.apply(fleet, RATE_PER_SECOND, BURST));
            String key = ExampleResources.issueKey(fleet);
            awaitInForce(fleet, key);
            runProgram(fleet, key);
            if (stay) {
                printAddresses(fleet, key);
                awaitInterrupt();
            }
            return shutdown(fleet, startNanos);
        }
    }

    private static void runProgram(Fleet fleet, String key) throws FleetException {
        Member one = fleet.member("entry-1");
        Caller caller = new Caller(one.uri(), key, ExampleResources.MODEL_ROUTE);
        Caller other = caller.at(fleet.member("entry-2").uri());
        String program = "trip-" + ProcessHandle.current().pid();

        Turn first = Turn.first(program, "Plan a trip to the coast.", MAX_TOKENS);
        show("turn 1 of " + program, caller.chat(first));
        show(
                "tool call, may not be repeated",
                caller.service(ExampleResources.SERVICE_ROUTE, "/bookings", program + "-seat", "{\"seats\":2}"));
        Turn search = Turn.first(program + "-search", "Find a hotel for it.", MAX_TOKENS)
                .of(program)
                .last();
        show("sub-agent " + search.program(), other.chat(search));
        Turn second = first.next("The seats are booked. Which hotel?");
        show("turn 2 of " + program, other.chat(second));
        show("turn 3 of " + program, caller.chat(second.next("Sum it up.").last()));
    }

    private static void show(String what, Answer answer) throws FleetException {
        if (!answer.isDone()) {
            throw new FleetException(what + " failed: " + answer.summary() + " " + answer.text(), null);
        }
        say("%s, run by %s: %s", what, answer.endpoint(), answer.text().strip());
    }

    /** The first program would be refused at an entry that has not seen the routes and the key yet. */
    private static void awaitInForce(Fleet fleet, String key) throws FleetException {
        for (Member entry : fleet.named("entry-")) {
            Caller caller = new Caller(entry.uri(), key, ExampleResources.MODEL_ROUTE);
            String program = "probe-" + entry.process().name();
            Turn probe = Turn.first(program, "Are you there?", 1).last();
            if (!Polling.await(IN_FORCE_MILLIS, () -> caller.chat(probe).isDone())) {
                throw new FleetException(
                        entry.process().name() + " refuses: "
                                + caller.chat(probe).summary(),
                        null);
            }
        }
    }

    private static void printAddresses(Fleet fleet, String key) {
        fleet.named("")
                .forEach(member -> say(
                        "%-20s pid %-8d port %-6d health %d",
                        member.process().name(), member.process().pid(), member.port(), member.healthPort()));
        say("cicadactl options: --admin %s --token-file %s", fleet.adminAddresses(), fleet.adminToken());
        say(
                "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json'"
                        + " -H 'Cicadahead-Program: mine' -H 'Cicadahead-Step: 1'"
                        + " -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'",
                fleet.member("entry-1").uri(), key, ExampleResources.MODEL_ROUTE);
        say("Enter or Ctrl-C ends the fleet");
    }

    private static void awaitInterrupt() throws FleetException {
        try {
            if (System.in.read() < 0) {
                new CountDownLatch(1).await();
            }
        } catch (IOException e) {
            throw new FleetException("cannot read standard input", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int shutdown(Fleet fleet, long startNanos) throws FleetException {
        Map<String, Integer> codes = fleet.shutdown();
        boolean graceful = codes.values().stream().allMatch(code -> code == 0);
        say(
                "%s, %d ms after the start: %s",
                graceful ? "All daemons shut down gracefully" : "A daemon did not shut down gracefully",
                millisSince(startNanos),
                codes);
        return graceful ? 0 : 1;
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static void say(String format, Object... arguments) {
        System.out.println(String.format(format, arguments));
    }
}
