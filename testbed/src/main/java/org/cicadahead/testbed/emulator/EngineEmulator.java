package org.cicadahead.testbed.emulator;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A model engine that speaks the published protocol. Safe for use by several threads.
 *
 * <p>Control paths: {@code /emulator/faults/{name}} (PUT a value, DELETE), {@code /emulator/requests} (GET, DELETE),
 * {@code /emulator/accounting} and {@code /emulator/crash} (POST). Answers carry no {@code [DONE]}; the last event
 * carries the usage.
 */
public final class EngineEmulator implements Closeable {
    /** Exit code of a process whose engine crashed. */
    static final int CRASH_EXIT_CODE = 139;

    private static final long DEFAULT_MAX_TOKENS = 64;

    private final EngineOptions options;
    private final FaultSwitches<EngineFault> faults = new FaultSwitches<>(EngineFault.class);
    private final EngineTotals totals = new EngineTotals();
    private final AtomicInteger starts = new AtomicInteger();
    private final Map<String, Long> modelsReadyNanos = new ConcurrentHashMap<>();
    private final Object orderLock = new Object();
    private final EmulatorServer server;
    private long highestFence;
    private long weightStoreFreeNanos = System.nanoTime();
    private volatile EngineCore core;

    private EngineEmulator(int port, EngineOptions options) throws IOException {
        this.options = options;
        restart();
        this.server = new EmulatorServer(port, faults, new Routes());
    }

    /**
     * Starts an engine on the loopback address.
     *
     * @param port the port, or 0 for any free port
     * @param options how it behaves
     * @return the engine
     * @throws IOException if it cannot listen
     */
    public static EngineEmulator start(int port, EngineOptions options) throws IOException {
        return new EngineEmulator(port, options);
    }

    /**
     * Returns the base address.
     *
     * @return the address
     */
    public URI uri() {
        return URI.create("http://127.0.0.1:" + server.port());
    }

    /**
     * Returns the fault switches.
     *
     * @return the switches
     */
    public FaultSwitches<EngineFault> faults() {
        return faults;
    }

    /**
     * Returns the requests received.
     *
     * @return the journal
     */
    public RequestJournal journal() {
        return server.journal();
    }

    /**
     * Returns the tokens that each owner holds in the cache or in host storage, without lag.
     *
     * @return the tokens by owner
     */
    public Map<String, Long> owners() {
        return core.owners();
    }

    /**
     * Returns the instance id, which is new after each crash.
     *
     * @return the id
     */
    public String instance() {
        return core.instance();
    }

    /**
     * Returns how often the engine was started.
     *
     * @return the number, 1 before the first crash
     */
    public int starts() {
        return starts.get();
    }

    /**
     * Returns how many requests run in the batch or wait for it, without lag.
     *
     * @return the number
     */
    public int busy() {
        EngineCore.Load load = core.exactLoad();
        return load.running() + load.waiting();
    }

    /** Crashes the engine: connections are reset, cache and streams are lost, and a new instance starts. */
    public void crash() {
        if (options.exitOnCrash()) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        EngineCore old = core;
        List<EndPoint> connections = server.connections();
        restart();
        old.stop();
        connections.forEach(EndPoint::close);
    }

    @Override
    public void close() throws IOException {
        core.stop();
        server.stop();
    }

    private synchronized void restart() {
        modelsReadyNanos.clear();
        options.models().forEach(model -> modelsReadyNanos.put(model, System.nanoTime()));
        core = new EngineCore(options, faults, totals, starts.incrementAndGet(), this::crash);
        core.start();
    }

    private Set<String> models() {
        long now = System.nanoTime();
        Map<String, Long> ready = new TreeMap<>(modelsReadyNanos);
        ready.values().removeIf(since -> since - now > 0);
        return ready.keySet();
    }

    private final class Routes implements EmulatorServer.Exchange {
        @Override
        public void serve(Request request, Response response, Callback callback, byte[] body) throws IOException {
            String path = request.getHttpURI().getPath();
            if (faults.isOn(EngineFault.DOWN)) {
                EmulatorServer.reset(request, callback);
            } else if (faults.isOn(EngineFault.HANG)) {
                return;
            } else if (path.equals("/v1/chat/completions")) {
                complete(request, response, callback, body);
            } else if (path.equals("/v1/engine/status")) {
                EmulatorServer.json(response, callback, 200, status());
            } else if (path.startsWith("/v1/engine/cache")) {
                cache(request, response, callback, path.substring("/v1/engine/cache".length()));
            } else if (path.startsWith("/v1/engine/streams/")) {
                stream(request, response, callback, decode(path.substring("/v1/engine/streams/".length())));
            } else if (path.equals("/v1/engine/orders")) {
                order(response, callback, body);
            } else {
                error(response, callback, 404, "unknown path");
            }
        }

        private void complete(Request request, Response response, Callback callback, byte[] body) throws IOException {
            if (faults.take(EngineFault.RESET_REQUESTS)) {
                EmulatorServer.reset(request, callback);
                return;
            }
            if (faults.take(EngineFault.REFUSE_REQUESTS)) {
                error(response, callback, 503, "refused by a fault switch");
                return;
            }
            JsonNode json;
            try {
                json = Codec.json().readTree(body);
            } catch (JacksonException e) {
                error(response, callback, 400, "the body is not JSON");
                return;
            }
            JsonNode messages = json.path("messages");
            String model = json.path("model").asText();
            if (!messages.isArray() || messages.isEmpty()) {
                error(response, callback, 400, "there are no messages");
                return;
            }
            if (!models().contains(model)) {
                error(response, callback, 404, "the model is not loaded");
                return;
            }
            EngineCore current = core;
            EngineStream stream = new EngineStream(
                    json.path("run_id").asText("run-" + System.nanoTime()),
                    json.hasNonNull("cache_owner") ? json.get("cache_owner").asText() : null,
                    model,
                    EngineAnswers.prompt(messages),
                    messages.get(messages.size() - 1).path("content").asText(),
                    Math.max(1, json.path("max_tokens").asLong(DEFAULT_MAX_TOKENS)));
            if (!current.submit(stream)) {
                error(response, callback, 409, "there is a stream with this run id");
                return;
            }
            boolean events = json.path("stream").asBoolean();
            new StreamPump(current, stream, faults, new StreamPump.Exchange(request, response, callback), events, 0)
                    .start();
        }

        private void stream(Request request, Response response, Callback callback, String run) throws IOException {
            EngineCore current = core;
            if (request.getMethod().equals("DELETE")) {
                EmulatorServer.json(
                        response, callback, 200, Codec.json().createObjectNode().put("cancelled", current.cancel(run)));
                return;
            }
            EngineStream stream = current.stream(run).orElse(null);
            if (stream == null || faults.isOn(EngineFault.NO_RESUME)) {
                error(response, callback, 404, "there is no such stream");
                return;
            }
            String offset = Request.extractQueryParameters(request).getValue("offset");
            StreamPump.Exchange exchange = new StreamPump.Exchange(request, response, callback);
            new StreamPump(current, stream, faults, exchange, true, offset == null ? 0 : Integer.parseInt(offset))
                    .start();
        }

        private void cache(Request request, Response response, Callback callback, String rest) throws IOException {
            if (rest.isEmpty()) {
                ArrayNode list = Codec.json().createArrayNode();
                core.owners()
                        .forEach((owner, tokens) ->
                                list.addObject().put("owner", owner).put("tokens", tokens));
                EmulatorServer.json(response, callback, 200, list);
            } else if (rest.equals("/events")) {
                String after = Request.extractQueryParameters(request).getValue("after");
                ArrayNode list = Codec.json().createArrayNode();
                for (EngineCore.CacheEvent event : core.eventsAfter(after == null ? 0 : Long.parseLong(after))) {
                    list.addObject()
                            .put("sequence", event.sequence())
                            .put("kind", event.kind())
                            .put("owner", event.owner());
                }
                EmulatorServer.json(response, callback, 200, list);
            } else if (request.getMethod().equals("DELETE")) {
                release(request, response, callback, decode(rest.substring(1)));
            } else {
                move(response, callback, rest.substring(1));
            }
        }

        private void release(Request request, Response response, Callback callback, String owner) throws IOException {
            if (faults.take(EngineFault.REFUSE_RELEASES)) {
                error(response, callback, 500, "refused by a fault switch");
                return;
            }
            core.release(owner);
            if (faults.take(EngineFault.LOSE_RELEASE_ANSWERS)) {
                EmulatorServer.reset(request, callback);
            } else {
                EmulatorServer.json(response, callback, 200, Codec.json().createObjectNode());
            }
        }

        private void move(Response response, Callback callback, String rest) throws IOException {
            int slash = rest.lastIndexOf('/');
            String owner = decode(rest.substring(0, Math.max(0, slash)));
            long tokens = rest.endsWith("/export") ? core.exportOwner(owner) : core.importOwner(owner);
            if (tokens < 0) {
                error(response, callback, 404, "the owner has no cache");
            } else {
                EmulatorServer.json(
                        response, callback, 200, Codec.json().createObjectNode().put("tokens", tokens));
            }
        }

        private void order(Response response, Callback callback, byte[] body) throws IOException {
            JsonNode order = Codec.json().readTree(body);
            long fence = order.path("fence").asLong();
            synchronized (orderLock) {
                if (fence < highestFence) {
                    totals.staleOrders++;
                    if (!faults.isOn(EngineFault.IGNORE_FENCES)) {
                        error(response, callback, 409, "the fencing token is old");
                        return;
                    }
                }
                highestFence = Math.max(highestFence, fence);
                totals.orders++;
                carryOut(order.path("kind").asText(), order.path("argument").asText());
            }
            EmulatorServer.json(response, callback, 202, Codec.json().createObjectNode());
        }

        private void carryOut(String kind, String argument) {
            if (kind.equals("load_model") || kind.equals("load_adapter")) {
                long from = Math.max(System.nanoTime(), weightStoreFreeNanos);
                weightStoreFreeNanos = from + TimeUnit.MILLISECONDS.toNanos(options.loadModelMillis());
                modelsReadyNanos.put(argument, weightStoreFreeNanos);
            } else if (kind.equals("unload_model")) {
                modelsReadyNanos.remove(argument);
            }
        }

        private ObjectNode status() {
            EngineCore current = core;
            EngineCore.Load load = faults.isOn(EngineFault.LIE_LOAD) ? new EngineCore.Load(0, 0, 0) : current.load();
            ObjectNode status = Codec.json()
                    .createObjectNode()
                    .put("instance", current.instance())
                    .put("running", load.running())
                    .put("waiting", load.waiting())
                    .put("cached_tokens", load.cachedTokens())
                    .put("cache_capacity_tokens", options.cacheCapacityTokens());
            models().forEach(status.withArray("models")::add);
            return status;
        }

        @Override
        public JsonNode control(String method, String path, byte[] body) {
            if (path.equals("crash") && method.equals("POST")) {
                new Thread(EngineEmulator.this::crash, "engine-emulator-crash").start();
                return Codec.json().createObjectNode();
            }
            return path.equals("accounting") ? accounting() : null;
        }

        private ObjectNode accounting() {
            EngineCore current = core;
            EngineCore.Load load = current.exactLoad();
            ObjectNode node = Codec.json()
                    .createObjectNode()
                    .put("instance", current.instance())
                    .put("starts", starts.get())
                    .put("running", load.running())
                    .put("waiting", load.waiting())
                    .put("cached_tokens", load.cachedTokens())
                    .put("evicted_tokens", current.evictedTokens());
            synchronized (current) {
                node.put("received", totals.received)
                        .put("completed", totals.completed)
                        .put("cancelled", totals.cancelled)
                        .put("prompt_tokens_total", totals.promptTokens)
                        .put("cached_prompt_tokens_total", totals.cachedTokens)
                        .put("completion_tokens_total", totals.completionTokens)
                        .put("orders", totals.orders)
                        .put("stale_orders", totals.staleOrders);
            }
            node.set("owners", Codec.json().valueToTree(current.owners()));
            return node;
        }

        private static String decode(String text) {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        }

        private static void error(Response response, Callback callback, int status, String text) throws IOException {
            ObjectNode body = Codec.json().createObjectNode();
            body.putObject("error").put("message", text);
            EmulatorServer.json(response, callback, status, body);
        }
    }
}
