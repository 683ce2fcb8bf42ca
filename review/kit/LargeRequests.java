import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients send large prompts at once, while others use kept channels. */
final class LargeRequests {
    private static final int BODY_BYTES = 4 * 1024 * 1024;
    private static final int SENDERS = 60;
    private static final int KEPT = 20;
    private static final int ROUNDS = 3;
    /** How many of them send at a time without the disruption. */
    private static final int CALM = 8;

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
        Set<String> ran = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 3; i++) {
            engines.add(new Engine(record, "despacho", "d-" + i, (engine, request, out) -> {
                ran.add(request.header("X-Attempt-Id"));
                Thread.sleep(100);
                Engine.answer(engine, request, out, 200, "confirmed\n");
            }));
        }
        AtomicInteger prompts = new AtomicInteger();
        for (int i = 0; i < 6; i++) {
            engines.add(new Engine(record, "modelos", "m-" + i, (engine, request, out) -> {
                prompts.incrementAndGet();
                Engine.stream(engine, request, out, 7, 20);
            }));
        }
        fleet.startAll();
        if (!Setup.ready(record, fleet, Setup.config(1), engines)) {
            return 2;
        }
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        long end = System.nanoTime() + 65_000_000_000L;
        for (int i = 0; i < KEPT; i++) {
            int entry = i % 2;
            Engine.thread(() -> {
                while (System.nanoTime() < end) {
                    int served = 0;
                    String attempt = null;
                    try (Socket socket = Http.connect(fleet.front(entry), 3_000)) {
                        while (System.nanoTime() < end) {
                            attempt = UUID.randomUUID().toString().substring(0, 16);
                            Http.Message answer = Http.exchange(
                                    socket,
                                    "ficu95.example",
                                    "POST",
                                    "/confirms/1",
                                    List.of("X-Attempt-Id: " + attempt, "X-Key: key-1", "X-Deadline-Ms: 1500"),
                                    new byte[600],
                                    null);
                            if (answer == null) {
                                throw new java.io.EOFException("no answer");
                            }
                            served++;
                            answered.incrementAndGet();
                        }
                    } catch (java.io.IOException e) {
                        boolean passedOn = ran.contains(attempt);
                        if (served > 0) {
                            cut.addAndGet(passedOn ? 1 : 0);
                            record.line(
                                    "request %s on a kept channel to entry %d: no answer, %s; %s",
                                    attempt, entry + 1, e.getMessage(), passedOn ? "an engine runs it" : "not passed on");
                        }
                        sleep(200);
                    }
                }
            });
        }
        Thread platform = Engine.thread(() -> {
            while (System.nanoTime() < end) {
                try {
                    ended.addAndGet(fleet.restartEnded());
                } catch (java.io.IOException e) {
                    return;
                }
                sleep(300);
            }
        });
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'p');
        AtomicInteger large = new AtomicInteger();
        java.util.Map<Integer, Integer> statuses = new java.util.concurrent.ConcurrentHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            sleep(4_000);
            Semaphore places = new Semaphore(trouble ? SENDERS : CALM);
            CountDownLatch done = new CountDownLatch(SENDERS);
            record.line("%d clients send %d bytes each, %s", SENDERS, BODY_BYTES, trouble ? "at once" : CALM + " at a time");
            for (int i = 0; i < SENDERS; i++) {
                int entry = i % 2;
                Runnable sender = () -> {
                    try {
                        Http.Message answer = upload(fleet.front(entry), body);
                        if (answer != null) {
                            large.incrementAndGet();
                            statuses.merge(answer.status(), 1, Integer::sum);
                        }
                    } catch (java.io.IOException e) {
                        // Its channel broke.
                    } finally {
                        places.release();
                        done.countDown();
                    }
                };
                places.acquire();
                Engine.thread(sender);
            }
            done.await();
            record.line("%d large requests answered so far, by status %s", large.get(), statuses);
        }
        platform.join(60_000);
        record.line(
                "requests on kept channels: %d answered, %d passed on and cut without an answer; entries ended by themselves %d times",
                answered.get(), cut.get(), ended.get());
        return cut.get() > 3 ? 1 : answered.get() > 100 ? 0 : 2;
    }

    /** Sends a large request over a link of some ten Mbit/s. */
    private static Http.Message upload(String address, byte[] body) throws java.io.IOException {
        try (Socket socket = Http.connect(address, 3_500)) {
            java.io.OutputStream out = socket.getOutputStream();
            out.write(("POST /lots/1 HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + UUID.randomUUID()
                            + "\r\nX-Key: key-1\r\nX-Deadline-Ms: 3000\r\nX-Model: m\r\n"
                            + "X-Token-Count: 1460,420\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            for (int piece = 0; piece < 16; piece++) {
                out.write(body, piece * (body.length / 16), body.length / 16);
                out.flush();
                sleep(100);
            }
            return Http.answer(socket, null);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
