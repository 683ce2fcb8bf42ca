import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of an engine. It checks {@code X-Expect-Instance}, echoes {@code X-Attempt-Id}, seals what it ran and
 * reports itself to the hubs. What it answers is decided by a handler.
 */
final class Engine implements AutoCloseable {
    final String id;
    final String service;
    final AtomicInteger running = new AtomicInteger();
    private final Record record;
    private final Handler handler;
    private final ServerSocket server;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private volatile long born = System.currentTimeMillis();
    private int seq;
    volatile boolean down;
    private volatile boolean closed;

    /** Answers a request that the engine runs. */
    interface Handler {
        void answer(Engine engine, Http.Message request, OutputStream out) throws IOException, InterruptedException;
    }

    Engine(Record record, String service, String id, Handler handler) throws IOException {
        this.record = record;
        this.service = service;
        this.id = id;
        this.handler = handler;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
    }

    static Thread thread(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Reports itself to all hubs in turn until one acknowledges. */
    synchronized boolean report(Fleet fleet, String state) {
        seq++;
        String body = "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"xela\","
                + "\"version\":\"v1\",\"slots\":16,\"state\":\"" + state + "\",\"cold_left_ms\":0,\"seq\":" + seq
                + ",\"born\":" + born + "}";
        for (int i = 0; i < fleet.role("hub").size(); i++) {
            try {
                Http.Message answer = Http.call(
                        fleet.control((i + seq) % fleet.role("hub").size()),
                        "PUT",
                        "/-/instances/" + id,
                        List.of("Content-Type: application/json"),
                        body.getBytes(StandardCharsets.UTF_8),
                        1_000);
                if (answer != null && answer.status() / 100 == 2) {
                    return true;
                }
            } catch (IOException e) {
                // The next hub is called.
            }
        }
        return false;
    }

    void beat(Fleet fleet) {
        thread(() -> {
            while (!closed) {
                if (!down) {
                    report(fleet, "ready");
                }
                try {
                    Thread.sleep(1_200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    /** Crashes: all channels are reset, and new ones as well until {@code down} is unset. */
    void crash() {
        down = true;
        record.line("engine %s crashes with %d requests at work", id, running.get());
        channels.forEach(Engine::reset);
    }

    /** Crashes now and is back after a time, under its id, as a new incarnation that knows nothing of before. */
    void crashFor(Fleet fleet, long millis) {
        crash();
        thread(() -> {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                born = System.currentTimeMillis();
                seq = 0;
            }
            down = false;
            record.line("engine %s is back", id);
            report(fleet, "ready");
        });
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        channels.forEach(Engine::reset);
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                if (down) {
                    reset(socket);
                } else {
                    socket.setTcpNoDelay(true);
                    channels.add(socket);
                    thread(() -> serve(socket));
                }
            } catch (IOException e) {
                if (closed) {
                    return;
                }
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.readHead(in); request != null; request = Http.readHead(in)) {
                Http.readBody(in, request, false, null);
                String attempt = request.header("X-Attempt-Id");
                if (request.first.startsWith("GET /health")) {
                    write(out, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!id.equals(request.header("X-Expect-Instance"))) {
                    write(out, "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                } else {
                    running.incrementAndGet();
                    try {
                        handler.answer(this, request, out);
                    } finally {
                        running.decrementAndGet();
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            reset(socket);
        } finally {
            channels.remove(socket);
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static String seal(Engine engine, String attempt) {
        return "seal." + engine.id + "." + attempt;
    }

    /** Answers with a whole body. */
    static void answer(Engine engine, Http.Message request, OutputStream out, int status, String body)
            throws IOException {
        String attempt = request.header("X-Attempt-Id");
        write(out, "HTTP/1.1 " + status + " S\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: "
                + seal(engine, attempt) + "\r\nContent-Type: text/plain\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    /** Answers with a stream of events, from the one after the last that the client has. */
    static void stream(Engine engine, Http.Message request, OutputStream out, int events, int gapMillis)
            throws IOException, InterruptedException {
        String attempt = request.header("X-Attempt-Id");
        String last = request.header("Last-Event-Id");
        write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: " + seal(engine, attempt)
                + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
            Thread.sleep(gapMillis);
            String text = "id: " + event + "\ndata: " + piece(attempt, event, events) + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        write(out, "0\r\n\r\n");
    }

    /** The data of an event; the last one of a stream says so. */
    static String piece(String attempt, int event, int events) {
        return "piece-" + event + (event == events ? "-last" : "") + "-" + "x".repeat(280);
    }
}
