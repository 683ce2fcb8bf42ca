import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One of three application engines runs requests and fails part of them with 503, without saying that it did not run. */
final class FailedButRun {
    private static final double SHARE_FAILED = 0.4;
    private static final int CLIENTS = 8;
    private static final int SECONDS = 20;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"));
                Fleet fleet = new Fleet(record, 3, 3, 2)) {
            code = run(record, fleet, trouble);
            record.line("exit %d", code);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Random random = new Random(11);
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            boolean grey = trouble && i == 0;
            engines.add(new Engine(record, "despacho", "d-" + i, (engine, request, out) -> {
                ran.add(request.header("X-Attempt-Id"));
                Thread.sleep(25);
                boolean fails = grey && random.nextDouble() < SHARE_FAILED;
                Engine.answer(engine, request, out, fails ? 503 : 200, fails ? "failed\n" : "allocated\n");
            }));
        }
        fleet.startAll();
        if (!Setup.ready(record, fleet, Setup.config(1), engines)) {
            return 2;
        }
        AtomicInteger orders = new AtomicInteger();
        AtomicInteger promisedButRan = new AtomicInteger();
        AtomicInteger doubled = new AtomicInteger();
        long end = System.nanoTime() + SECONDS * 1_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int entry = i % 2;
            clients.add(Engine.thread(() -> {
                while (System.nanoTime() < end) {
                    int runs = 0;
                    StringBuilder tries = new StringBuilder();
                    // Clients repeat such a request only after a promise, with a new attempt id, here once.
                    for (int attemptNumber = 0; attemptNumber < 2; attemptNumber++) {
                        String attempt = UUID.randomUUID().toString().substring(0, 16);
                        Http.Message answer = call(fleet, entry, attempt);
                        int status = answer == null ? 0 : answer.status();
                        boolean hasRun = ran.contains(attempt);
                        boolean promised = status == 503 || status == 429 || status == 408 || status == 421;
                        runs += hasRun ? 1 : 0;
                        tries.append(String.format(
                                " [%s: answered %d, seal %s, %s]",
                                attempt, status, answer == null ? null : answer.header("X-Response-Seal"),
                                hasRun ? "has run" : "not run"));
                        if (promised && hasRun) {
                            promisedButRan.incrementAndGet();
                        }
                        if (!promised) {
                            break;
                        }
                    }
                    orders.incrementAndGet();
                    if (runs > 1) {
                        doubled.incrementAndGet();
                        record.line("order run %d times:%s", runs, tries);
                    }
                    try {
                        Thread.sleep(20);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        record.line(
                "%d orders; attempts answered with a promise that they have not run, though they have: %d; orders run twice: %d",
                orders.get(), promisedButRan.get(), doubled.get());
        return promisedButRan.get() > 0 ? 1 : orders.get() > 100 ? 0 : 2;
    }

    private static Http.Message call(Fleet fleet, int entry, String attempt) {
        try {
            return Http.call(
                    fleet.front(entry),
                    "POST",
                    "/confirms/1",
                    List.of("Host: ficu95.example", "X-Attempt-Id: " + attempt, "X-Key: key-1", "X-Deadline-Ms: 1500"),
                    new byte[600],
                    3_000);
        } catch (java.io.IOException e) {
            return null;
        }
    }
}
