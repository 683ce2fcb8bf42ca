package org.cicadahead.testbed;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cicadahead.testbed.client.Caller;
import org.cicadahead.testbed.client.ProgramRun;
import org.cicadahead.testbed.fleet.FleetException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The subcommand {@code load}: starts programs at random times with a mean rate, whether or not earlier ones have
 * finished, and prints the latencies of whole programs. A latency counts from the time at which the program was to
 * start, so that a stall is not hidden by programs that started late.
 */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Starts programs at a mean rate and prints their latencies.")
final class LoadCommand implements Callable<Integer> {
    private static final double[] PERCENTILES = {50, 90, 95, 99, 100};
    private static final int MAX_PROGRAMS = 400;
    private static final double MAX_RATE = 1_000;
    private static final long MAX_SECONDS = 600;
    private static final long IDLE_SECONDS = 10;
    private static final int SIGNIFICANT_DIGITS = 3;

    @Option(names = "--entry", required = true, split = ",", description = "Base URLs of entries on the loopback.")
    private List<URI> entries;

    @Option(names = "--key-file", required = true, paramLabel = "FILE", description = "File with the caller's key.")
    private Path keyFile;

    @Option(names = "--route", defaultValue = ExampleResources.MODEL_ROUTE, description = "Default: ${DEFAULT-VALUE}.")
    private String route;

    @Option(names = "--rate", defaultValue = "5", description = "Programs a second. Default: ${DEFAULT-VALUE}.")
    private double rate;

    @Option(names = "--seconds", defaultValue = "20", description = "Length of the run. Default: ${DEFAULT-VALUE}.")
    private long seconds;

    @Option(names = "--steps", defaultValue = "5", description = "Steps of a program. Default: ${DEFAULT-VALUE}.")
    private int steps;

    @Option(names = "--tokens", defaultValue = "32", description = "Tokens of an answer. Default: ${DEFAULT-VALUE}.")
    private int tokens;

    @Option(names = "--timeout-millis", defaultValue = "30000", description = "How long a step is resent.")
    private long timeoutMillis;

    @Option(names = "--seed", defaultValue = "1", description = "Makes the start times. Default: ${DEFAULT-VALUE}.")
    private long seed;

    private final Histogram latencyMillis = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger skipped = new AtomicInteger();
    private final Map<String, Integer> refusals = new ConcurrentHashMap<>();

    @Override
    public Integer call() throws FleetException {
        if (!(rate > 0 && rate <= MAX_RATE) || seconds < 1 || seconds > MAX_SECONDS) {
            throw new FleetException(
                    "the rate must be up to " + MAX_RATE + " and the seconds up to " + MAX_SECONDS, null);
        }
        String key = readKey();
        List<Caller> callers =
                entries.stream().map(entry -> new Caller(entry, key, route)).toList();
        ExecutorService programs = new ThreadPoolExecutor(
                0, MAX_PROGRAMS, IDLE_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), task -> {
                    Thread thread = new Thread(task, "load");
                    thread.setDaemon(true);
                    return thread;
                });
        int started = startAll(programs, callers);
        programs.shutdown();
        try {
            programs.awaitTermination((steps + 1) * timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        report(started);
        return broken.get() == 0 && skipped.get() == 0 ? 0 : 1;
    }

    private int startAll(ExecutorService programs, List<Caller> callers) {
        Random random = new Random(seed);
        long startNanos = System.nanoTime();
        long lengthNanos = TimeUnit.SECONDS.toNanos(seconds);
        String prefix = "load-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-";
        double dueNanos = 0;
        int number = 0;
        while (dueNanos < lengthNanos) {
            long due = startNanos + (long) dueNanos;
            while (System.nanoTime() - due < 0) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            int first = number++;
            try {
                programs.execute(() -> run(callers, first, prefix + first, due));
            } catch (RejectedExecutionException e) {
                skipped.incrementAndGet();
            }
            dueNanos += -Math.log(1 - random.nextDouble()) / rate * 1e9;
        }
        return number;
    }

    private void run(List<Caller> callers, int first, String program, long dueNanos) {
        ProgramRun run = new ProgramRun(callers, first, timeoutMillis);
        if (run.run(program, steps, tokens)) {
            latencyMillis.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueNanos));
        } else {
            broken.incrementAndGet();
            System.out.println(run.fault());
        }
        run.refusals().forEach((reason, count) -> refusals.merge(reason, count, Integer::sum));
    }

    private void report(int started) {
        System.out.println(String.format(
                "programs: %d started, %d finished, %d broken, %d not started as %d were running",
                started, latencyMillis.getTotalCount(), broken.get(), skipped.get(), MAX_PROGRAMS));
        System.out.println("refusals that were resent: " + new TreeMap<>(refusals));
        for (double percentile : PERCENTILES) {
            System.out.println(String.format(
                    "program latency p%-4s %6d ms", percentile, latencyMillis.getValueAtPercentile(percentile)));
        }
    }

    private String readKey() throws FleetException {
        try {
            return Files.readString(keyFile).strip();
        } catch (IOException e) {
            throw new FleetException("cannot read " + keyFile, e);
        }
    }
}
