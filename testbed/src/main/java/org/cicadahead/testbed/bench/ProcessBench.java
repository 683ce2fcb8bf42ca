package org.cicadahead.testbed.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cicadahead.testbed.ExampleResources;
import org.cicadahead.testbed.fleet.Binaries;
import org.cicadahead.testbed.fleet.Fleet;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.FleetShape;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/** The latency that real processes add, and their requests a second for each core, on the loopback address. */
final class ProcessBench {
    private static final FleetShape SHAPE = new FleetShape(3, 1, 2, 1, false);
    private static final long READY_MILLIS = 20_000;
    private static final long IN_FORCE_MILLIS = 5_000;
    private static final double RATE_PER_SECOND = 100_000;
    private static final long BURST = 100_000;

    private static final int WARM_UP = 200;
    private static final int SAMPLES = 300;
    /** A busy machine takes fewer samples, so that the whole part stays below 60 s. */
    private static final long COMPARE_NANOS = TimeUnit.SECONDS.toNanos(12);

    private static final int THREADS = 16;
    private static final long LOAD_MILLIS = 4_000;
    private static final int SYNC_SAMPLES = 100;
    private static final int SYNC_BYTES = 512;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int OK = 200;
    private static final int DIGITS = 3;
    private static final double P99 = 99;
    private static final double MEDIAN = 50;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private final AtomicLong numbers = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private final Fleet fleet;
    private final List<Figure> figures = new ArrayList<>();
    private String key = "";

    /** Makes the n-th request of a kind. */
    private interface Maker {
        HttpRequest request(long number);
    }

    private ProcessBench(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Starts ten daemons and emulators, measures, and ends them. */
    static List<Figure> run() throws FleetException {
        Path folder = Binaries.locate()
                .root()
                .resolve("run/bench-" + ProcessHandle.current().pid());
        try (Fleet fleet = Fleet.create(folder, SHAPE)) {
            fleet.startAll(READY_MILLIS);
            ExampleResources.apply(fleet, RATE_PER_SECOND, BURST);
            ProcessBench bench = new ProcessBench(fleet);
            bench.key = ExampleResources.issueKey(fleet);
            bench.measure(folder);
            fleet.shutdown();
            return bench.figures;
        }
    }

    private void measure(Path folder) throws FleetException {
        if (!Polling.await(IN_FORCE_MILLIS, () -> send(chat(numbers.incrementAndGet())) >= 0)) {
            throw new FleetException("the entry refuses the requests of the bench", null);
        }
        failures.set(0);
        compare("repeatable", this::directChat, this::chat);
        compare("claimed", this::directService, this::service);
        throughput("repeatable", this::chat);
        throughput("claimed", this::service);
        syncs(folder);
        figures.add(Figure.info("processes.failed_requests", failures.get()));
    }

    /** Direct and forwarded calls alternate, so that both see the same machine. */
    private void compare(String kind, Maker direct, Maker through) {
        Histogram directNanos = new Histogram(DIGITS);
        Histogram throughNanos = new Histogram(DIGITS);
        long start = System.nanoTime();
        for (int i = 0; i < WARM_UP + SAMPLES && System.nanoTime() - start < COMPARE_NANOS; i++) {
            long one = send(direct.request(numbers.incrementAndGet()));
            long other = send(through.request(numbers.incrementAndGet()));
            if (i >= WARM_UP && one >= 0 && other >= 0) {
                directNanos.recordValue(one);
                throughNanos.recordValue(other);
            }
        }
        for (double percentile : new double[] {MEDIAN, P99}) {
            double base = directNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            double whole = throughNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            String name = "processes." + kind + ".p" + (int) percentile;
            figures.add(Figure.info(name + "_direct_ms", base));
            figures.add(Figure.info(name + "_added_ms", whole - base));
            figures.add(Figure.info(name + "_ratio", whole / base));
        }
    }

    /** Threads send one request after the other; the processor time of the daemons gives the requests per core. */
    private void throughput(String kind, Maker maker) throws FleetException {
        Histogram nanos = new ConcurrentHistogram(DIGITS);
        CountDownLatch done = new CountDownLatch(THREADS);
        double syncsBefore = leaderSyncs();
        double processorBefore = processorSeconds();
        long start = System.nanoTime();
        for (int i = 0; i < THREADS; i++) {
            Thread thread = new Thread(() -> {
                while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(LOAD_MILLIS)) {
                    long taken = send(maker.request(numbers.incrementAndGet()));
                    if (taken >= 0) {
                        nanos.recordValue(taken);
                    }
                }
                done.countDown();
            });
            thread.setDaemon(true);
            thread.start();
        }
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted while load ran", e);
        }
        double seconds = (System.nanoTime() - start) / NANOS_PER_MILLI / 1_000;
        double cores = processorSeconds() - processorBefore;
        long count = nanos.getTotalCount();
        String name = "processes." + kind + ".";
        figures.add(Figure.info(name + "requests_per_second", count / seconds));
        figures.add(Figure.info(name + "requests_per_core_second", count / cores));
        figures.add(Figure.info(
                name + "p50_at_" + THREADS + "_callers_ms", nanos.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLI));
        figures.add(Figure.info(name + "leader_syncs_per_request", (leaderSyncs() - syncsBefore) / count));
    }

    /** The metrics count syncs but state no time, so one sync of the same disk is timed here. */
    private void syncs(Path folder) throws FleetException {
        Histogram nanos = new Histogram(DIGITS);
        Path file = folder.resolve("sync-probe");
        try (FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND)) {
            for (int i = 0; i < SYNC_SAMPLES; i++) {
                channel.write(ByteBuffer.allocate(SYNC_BYTES));
                long start = System.nanoTime();
                channel.force(false);
                nanos.recordValue(System.nanoTime() - start);
            }
            Files.deleteIfExists(file);
        } catch (IOException e) {
            throw new FleetException("cannot time a sync", e);
        }
        figures.add(Figure.info("processes.sync_p50_ms", nanos.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLI));
        figures.add(Figure.info("processes.sync_p99_ms", nanos.getValueAtPercentile(P99) / NANOS_PER_MILLI));
    }

    private double processorSeconds() {
        return fleet.named("").stream()
                        .filter(Member::daemon)
                        .mapToLong(member -> ProcessHandle.of(member.process().pid())
                                .flatMap(handle -> handle.info().totalCpuDuration())
                                .map(Duration::toMillis)
                                .orElse(0L))
                        .sum()
                / 1_000.0;
    }

    /** The replica with the most syncs is the leader, which has synced since it was elected. */
    private double leaderSyncs() {
        return fleet.named("control-").stream()
                .mapToDouble(member -> member.metrics()
                        .lines()
                        .filter(line -> line.startsWith("raft_syncs "))
                        .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                        .findFirst()
                        .orElse(0))
                .max()
                .orElse(0);
    }

    private HttpRequest chat(long number) {
        return post(fleet.member("entry-1").uri(), "/v1/chat/completions", body(ExampleResources.MODEL_ROUTE, ""))
                .header("Authorization", "Bearer " + key)
                .build();
    }

    private HttpRequest directChat(long number) {
        String owner = ",\"cache_owner\":\"direct/p" + number + "\",\"run_id\":\"d" + number + "\"";
        return post(fleet.member("engine-1").uri(), "/v1/chat/completions", body(Fleet.MODEL, owner))
                .build();
    }

    private HttpRequest service(long number) {
        String path = "/v1/services/" + ExampleResources.SERVICE_ROUTE + "/bookings";
        return post(fleet.member("entry-1").uri(), path, "{\"seats\":2}")
                .header("Authorization", "Bearer " + key)
                .header("Idempotency-Key", "through-" + number)
                .build();
    }

    private HttpRequest directService(long number) {
        return post(fleet.member("service-1").uri(), "/bookings", "{\"seats\":2}")
                .header("Idempotency-Key", "direct-" + number)
                .build();
    }

    private static String body(String model, String more) {
        return "{\"model\":\"" + model + "\",\"stream\":true,\"max_tokens\":1,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]" + more + "}";
    }

    private static HttpRequest.Builder post(URI base, String path, String body) {
        return HttpRequest.newBuilder(base.resolve(path))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /** Returns how long the whole answer took in nanoseconds, or -1 if it is no success. */
    private long send(HttpRequest request) {
        long start = System.nanoTime();
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            long taken = System.nanoTime() - start;
            if (response.statusCode() == OK && !response.body().contains("\"reason\"")) {
                return taken;
            }
        } catch (IOException e) {
            System.getLogger("cicadahead.testbed").log(System.Logger.Level.DEBUG, "a request of the bench failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        failures.incrementAndGet();
        return -1;
    }
}
