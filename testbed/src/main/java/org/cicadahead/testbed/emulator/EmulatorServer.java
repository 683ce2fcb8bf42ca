package org.cicadahead.testbed.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of an emulator, with the paths that all emulators share. */
final class EmulatorServer {
    private static final int MAX_THREADS = 24;
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    private final Server server;
    private final ServerConnector connector;
    private final RequestJournal journal = new RequestJournal();
    private final FaultSwitches<?> faults;
    private final Exchange exchange;

    /** Serves the requests that are not for the emulator itself. */
    interface Exchange {
        void serve(Request request, Response response, Callback callback, byte[] body) throws IOException;

        /** Serves a path under /emulator/ that is not common to all emulators; returns null if there is none. */
        JsonNode control(String method, String path, byte[] body);
    }

    EmulatorServer(int port, FaultSwitches<?> faults, Exchange exchange) throws IOException {
        this.faults = faults;
        this.exchange = exchange;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
        threads.setName("emulator");
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        configuration.setSendServerVersion(false);
        configuration.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        connector.setPort(port);
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        server.setHandler(new Dispatcher());
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("cannot start the emulator", e);
        }
    }

    int port() {
        return connector.getLocalPort();
    }

    RequestJournal journal() {
        return journal;
    }

    void stop() throws IOException {
        try {
            connections().forEach(EndPoint::close);
            server.stop();
        } catch (Exception e) {
            throw new IOException("cannot stop the emulator", e);
        }
    }

    List<EndPoint> connections() {
        return List.copyOf(connector.getConnectedEndPoints());
    }

    static void reset(Request request, Callback callback) {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new IOException("reset by a fault switch"));
    }

    static void json(Response response, Callback callback, int status, JsonNode body) throws IOException {
        bytes(response, callback, status, "application/json", Codec.json().writeValueAsBytes(body));
    }

    static void bytes(Response response, Callback callback, int status, String type, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put("Content-Type", type);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    private final class Dispatcher extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            byte[] body = BufferUtil.toArray(Content.Source.asByteBuffer(request));
            String path = request.getHttpURI().getPath();
            if (path.startsWith("/emulator/")) {
                control(request, response, callback, path.substring("/emulator/".length()), body);
            } else {
                journal.add(request, body);
                exchange.serve(request, response, callback, body);
            }
            return true;
        }

        private void control(Request request, Response response, Callback callback, String path, byte[] body)
                throws IOException {
            String method = request.getMethod();
            JsonNode answer;
            if (path.equals("requests")) {
                answer = requests(method);
            } else if (path.equals("faults") || path.startsWith("faults/")) {
                answer = faults(faults, method, path, new String(body, StandardCharsets.UTF_8));
            } else {
                answer = exchange.control(method, path, body);
            }
            if (answer == null) {
                json(response, callback, 404, Codec.json().createObjectNode().put("detail", "unknown path"));
            } else {
                json(response, callback, 200, answer);
            }
        }
    }

    private JsonNode requests(String method) {
        if (method.equals("DELETE")) {
            journal.clear();
        }
        ObjectNode answer = Codec.json().createObjectNode().put("dropped", journal.dropped());
        ArrayNode list = answer.putArray("requests");
        for (RequestJournal.Entry entry : journal.entries()) {
            ObjectNode node = list.addObject().put("method", entry.method()).put("uri", entry.uri());
            entry.headers().forEach(node.withArray("headers")::add);
            node.put("body", entry.encoded());
        }
        return answer;
    }

    private static <E extends Enum<E>> JsonNode faults(
            FaultSwitches<E> faults, String method, String path, String value) {
        String name = path.length() > "faults/".length() ? path.substring("faults/".length()) : "";
        if (method.equals("PUT")) {
            faults.set(faults.named(name), value.isEmpty() ? "1" : value);
        } else if (method.equals("DELETE") && name.isEmpty()) {
            faults.clearAll();
        } else if (method.equals("DELETE")) {
            faults.clear(faults.named(name));
        }
        ObjectNode answer = Codec.json().createObjectNode();
        faults.all().forEach((fault, text) -> answer.put(fault.name().toLowerCase(java.util.Locale.ROOT), text));
        return answer;
    }
}
