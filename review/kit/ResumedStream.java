import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A stream that is resumed at a second engine, which answers with a failure. */
final class ResumedStream {
    private static final int EVENTS = 12;
    private static final int GAP_MILLIS = 40;
    private static final int ENGINES = 7;
    private static final int CRASHES = 10;
    private static final int CLIENTS = 60;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"));
                Fleet fleet = new Fleet(record, 3, 3, 1)) {
            code = run(record, fleet, trouble);
            record.line("exit %d", code);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
        List<Engine> engines = new ArrayList<>();
        ConcurrentHashMap<String, StringBuilder> runs = new ConcurrentHashMap<>();
        Random random = new Random(7);
        for (int i = 0; i < ENGINES; i++) {
            boolean grey = i == 0;
            engines.add(new Engine(record, "modelos", "i-" + i, (engine, request, out) -> {
                String attempt = request.header("X-Attempt-Id");
                boolean fails = trouble && grey && random.nextDouble() < 0.4;
                runs.computeIfAbsent(attempt, id -> new StringBuilder())
                        .append(String.format(" [%s after %s: %s]", engine.id, request.header("Last-Event-Id"),
                                fails ? "500" : "200"));
                if (fails) {
                    Engine.answer(engine, request, out, 500, "the engine failed\n");
                } else {
                    Engine.stream(engine, request, out, EVENTS, GAP_MILLIS);
                }
            }));
        }
        fleet.startAll();
        if (!Setup.ready(record, fleet, Setup.config(1), engines)) {
            return 2;
        }
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        long end = System.nanoTime() + 45_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Engine.thread(() -> {
                while (System.nanoTime() < end) {
                    String attempt = UUID.randomUUID().toString().substring(0, 16);
                    Http.Message answer = null;
                    try {
                        answer = Http.call(
                                fleet.front(0),
                                "POST",
                                "/lots/1",
                                List.of(
                                        "Host: ficu95.example",
                                        "X-Attempt-Id: " + attempt,
                                        "X-Key: key-1",
                                        "X-Deadline-Ms: 3000",
                                        "X-Model: m",
                                        "X-Token-Count: 1460,420"),
                                "prompt".getBytes(StandardCharsets.UTF_8),
                                3_500);
                    } catch (Exception e) {
                        // Counted as broken.
                    }
                    if (answer == null || !answer.whole) {
                        broken.incrementAndGet();
                    } else if (answer.status() != 200) {
                        refused.incrementAndGet();
                    } else if (answer.text().equals(expected(attempt))) {
                        whole.incrementAndGet();
                    } else {
                        wrong.incrementAndGet();
                        record.line(
                                "WRONG request %s: status 200, seal %s, the body ended as complete; runs%s; body:%n%s",
                                attempt, answer.header("X-Response-Seal"), runs.get(attempt), answer.text());
                    }
                }
            }));
        }
        for (int i = 0; trouble && i < CRASHES; i++) {
            Thread.sleep(4_000);
            Engine victim = engines.get(1 + i % (ENGINES - 1));
            victim.crash();
            Engine.thread(() -> {
                try {
                    Thread.sleep(2_000);
                } catch (InterruptedException e) {
                    return;
                }
                victim.down = false;
            });
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        record.line(
                "streams: %d whole, %d broken off, %d refused, %d ended as complete with other content",
                whole.get(), broken.get(), refused.get(), wrong.get());
        engines.forEach(engine -> {
            try {
                engine.close();
            } catch (Exception e) {
                // The process ends anyway.
            }
        });
        return wrong.get() > 0 ? 1 : whole.get() > 100 ? 0 : 2;
    }

    private static String expected(String attempt) {
        StringBuilder text = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            text.append("id: ").append(event).append("\ndata: ")
                    .append(Engine.piece(attempt, event, EVENTS)).append("\n\n");
        }
        return text.toString();
    }
}
