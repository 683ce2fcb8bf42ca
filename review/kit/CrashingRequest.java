import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A request that crashes each engine that begins to run it comes again and again. */
final class CrashingRequest {
    private static final String PATH = "/alerts/yard-7";
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DOWN_MILLIS = 3_000;

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
        List<Engine> engines = new ArrayList<>();
        AtomicInteger crashes = new AtomicInteger();
        AtomicLong thirdNanos = new AtomicLong(Long.MAX_VALUE);
        Set<String> late = ConcurrentHashMap.newKeySet();
        Map<String, Long> sent = new ConcurrentHashMap<>();
        for (int i = 0; i < 6; i++) {
            engines.add(new Engine(record, "despacho", "d-" + i, (engine, request, out) -> {
                String attempt = request.header("X-Attempt-Id");
                if (request.first.contains(PATH)) {
                    record.line("engine %s begins to run %s", engine.id, attempt);
                    if (sent.get(attempt) - thirdNanos.get() > CONTACT_MILLIS * 1_000_000) {
                        late.add(attempt);
                    }
                    if (trouble) {
                        if (crashes.incrementAndGet() == 3) {
                            thirdNanos.set(System.nanoTime());
                        }
                        engine.crashFor(fleet, DOWN_MILLIS);
                        throw new java.io.IOException("crashed");
                    }
                }
                Thread.sleep(30);
                Engine.answer(engine, request, out, 200, "ok\n");
            }));
        }
        fleet.startAll();
        if (!Setup.ready(record, fleet, Setup.config(1), engines)) {
            return 2;
        }
        long end = System.nanoTime() + 40_000_000_000L;
        Map<Integer, Integer> others = new TreeMap<>();
        for (int i = 0; i < 12; i++) {
            int entry = i % 2;
            Engine.thread(() -> {
                while (System.nanoTime() < end) {
                    int status = call(fleet, entry, "POST", "/confirms/1", UUID.randomUUID().toString(), new byte[600]);
                    synchronized (others) {
                        others.merge(status, 1, Integer::sum);
                    }
                }
            });
        }
        int tries = 0;
        while (System.nanoTime() < end) {
            // The same path, caller and body, at any machine.
            String attempt = "poison-" + ++tries;
            sent.put(attempt, System.nanoTime());
            int status = call(fleet, tries % 2, "GET", PATH, attempt, new byte[0]);
            record.line("%s at entry %d: status %d", attempt, tries % 2 + 1, status);
            Thread.sleep(1_500);
        }
        synchronized (others) {
            record.line("requests of others that may not be repeated, by status (0: no answer): %s", others);
        }
        record.line(
                "%d crashes; retries that reached engines later than contact_ms after the third crash: %d",
                crashes.get(), late.size());
        return late.size() > 3 ? 1 : others.getOrDefault(200, 0) > 100 ? 0 : 2;
    }

    private static int call(Fleet fleet, int entry, String method, String path, String attempt, byte[] body) {
        try {
            Http.Message answer = Http.call(
                    fleet.front(entry),
                    method,
                    path,
                    List.of(
                            "Host: ficu95.example",
                            "X-Attempt-Id: " + attempt,
                            "X-Key: key-1",
                            "X-Deadline-Ms: 1500"),
                    body,
                    3_000);
            return answer == null ? 0 : answer.status();
        } catch (java.io.IOException e) {
            return 0;
        }
    }
}
