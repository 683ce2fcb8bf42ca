package org.cicadahead.testbed.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A plain HTTP service that counts how often each idempotency key is executed. Safe for use by several threads.
 *
 * <p>Each call is executed anew, also under a key that was executed before. Control paths: {@code /emulator/faults},
 * {@code /emulator/requests} and {@code /emulator/executions}.
 */
public final class ServiceEmulator implements Closeable {
    private final FaultSwitches<ServiceFault> faults = new FaultSwitches<>(ServiceFault.class);
    private final Map<String, Integer> executions = new TreeMap<>();
    private final AtomicLong executed = new AtomicLong();
    private final List<Callback> hanging = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "service-emulator-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final EmulatorServer server;

    private ServiceEmulator(int port, ServiceOptions options) throws IOException {
        if (options.delayMillis() > 0) {
            faults.set(ServiceFault.DELAY_MILLIS, Long.toString(options.delayMillis()));
        }
        server = new EmulatorServer(port, faults, new Routes());
    }

    /**
     * Starts a service on the loopback address.
     *
     * @param port the port, or 0 for any free port
     * @param options how it behaves
     * @return the service
     * @throws IOException if it cannot listen
     */
    public static ServiceEmulator start(int port, ServiceOptions options) throws IOException {
        return new ServiceEmulator(port, options);
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
    public FaultSwitches<ServiceFault> faults() {
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
     * Returns how often calls with an idempotency key were executed.
     *
     * @param key the key
     * @return the number
     */
    public int executions(String key) {
        synchronized (executions) {
            return executions.getOrDefault(key, 0);
        }
    }

    /**
     * Returns how many calls were executed.
     *
     * @return the number
     */
    public long executed() {
        return executed.get();
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        server.stop();
    }

    private final class Routes implements EmulatorServer.Exchange {
        @Override
        public void serve(Request request, Response response, Callback callback, byte[] body) throws IOException {
            if (faults.take(ServiceFault.RESET_BEFORE)) {
                EmulatorServer.reset(request, callback);
            } else if (faults.take(ServiceFault.REFUSE)) {
                EmulatorServer.json(response, callback, 503, Codec.json().createObjectNode());
            } else if (faults.take(ServiceFault.REDIRECT)) {
                response.getHeaders().put("Location", request.getHttpURI().getPath());
                EmulatorServer.json(response, callback, 307, Codec.json().createObjectNode());
            } else {
                timer.schedule(
                        () -> execute(request, response, callback, body),
                        faults.number(ServiceFault.DELAY_MILLIS),
                        TimeUnit.MILLISECONDS);
            }
        }

        private void execute(Request request, Response response, Callback callback, byte[] body) {
            String key = request.getHeaders().get("Idempotency-Key");
            long number = executed.incrementAndGet();
            synchronized (executions) {
                executions.merge(key == null ? "" : key, 1, Integer::sum);
            }
            if (faults.isOn(ServiceFault.HANG)) {
                hanging.add(callback);
            } else if (faults.take(ServiceFault.RESET_AFTER)) {
                EmulatorServer.reset(request, callback);
            } else {
                ObjectNode answer = Codec.json()
                        .createObjectNode()
                        .put("execution", number)
                        .put("key", key)
                        .put("path", request.getHttpURI().getPathQuery())
                        .put("bytes", body.length);
                EmulatorServer.bytes(
                        response,
                        callback,
                        200,
                        "application/json",
                        answer.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
            }
        }

        @Override
        public JsonNode control(String method, String path, byte[] body) {
            if (!path.equals("executions")) {
                return null;
            }
            synchronized (executions) {
                return Codec.json().valueToTree(executions);
            }
        }
    }
}
