package org.cicadahead.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.Key;
import org.cicadahead.model.KeyDigest;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.Pool;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.Role;
import org.cicadahead.model.Route;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.DaemonInfo;

/** An entry node with a fake control replica, a fake engine endpoint and a fake service endpoint, in one process. */
final class EntryFixture implements AutoCloseable {
    static final String KEY = "ck_0123456789abcdefghijklmnopqrstuvwxyzABCDEFG";
    static final OrganisationId ORG = OrganisationId.of("acme");
    static final long MAX_BODY_BYTES = 4_096;
    final MetricRegistry metrics = new MetricRegistry();
    final FakeControl control = new FakeControl();
    final FakeEndpoint engine = new FakeEndpoint("e1");
    final FakeEndpoint service = new FakeEndpoint("s1");
    final Key key = new Key(digest(KEY), ORG, "");
    final EntryNode entry;
    private final HttpClient client = HttpClient.newHttpClient();

    EntryFixture() throws Exception {
        control.put(new Organisation(ORG, 100, 100, 1));
        control.put(key);
        control.put(new Pool(PoolName.of("engines"), EndpointKind.ENGINE, null));
        control.put(new Pool(PoolName.of("services"), EndpointKind.SERVICE, null));
        control.put(route("plan", "engines", EndpointKind.ENGINE, Set.of(), true, 0));
        control.put(route("short", "engines", EndpointKind.ENGINE, Set.of(), true, 300));
        control.put(route("other", "engines", EndpointKind.ENGINE, Set.of(OrganisationId.of("x")), true, 0));
        control.put(route("lost", "nowhere", EndpointKind.ENGINE, Set.of(), true, 0));
        control.put(route("book", "services", EndpointKind.SERVICE, Set.of(), false, 0));
        control.announce(engine.announcement(EndpointKind.ENGINE, "engines"));
        control.announce(service.announcement(EndpointKind.SERVICE, "services"));
        service.behaviour = (request, responder) -> {
            responder.part(FakeEndpoint.chunk(request, 0, "booked"));
            responder.reply(FakeEndpoint.end(request, 1));
        };
        DaemonInfo daemon = new DaemonInfo(DaemonId.of("entry"), Set.of(Role.ENTRY), ZoneName.of("a"), 1, "none");
        InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        entry = EntryNode.start(
                new EntryConfig(daemon, List.of(control.address()), loopback, 4, MAX_BODY_BYTES), metrics);
        await(entry::isReady);
    }

    static KeyDigest digest(String key) throws Exception {
        byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
        return KeyDigest.of(HexFormat.of().formatHex(hash));
    }

    static Route route(
            String name,
            String pool,
            EndpointKind kind,
            Set<OrganisationId> organisations,
            boolean repeatable,
            long deadlineMillis) {
        return new Route(
                RouteName.of(name),
                PoolName.of(pool),
                kind,
                false,
                organisations,
                repeatable,
                0,
                0,
                0,
                deadlineMillis,
                "");
    }

    static String chat(String model, boolean stream, String content) {
        return "{\"model\":\"" + model + "\",\"stream\":" + stream + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                + content + "\"}]}";
    }

    static void await(BooleanSupplier condition) throws TimeoutException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                throw new TimeoutException("the condition was not met within 10 s");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    HttpRequest.Builder requestTo(String path) {
        URI uri = URI.create("http://127.0.0.1:" + entry.httpPort() + path);
        return HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(20)).header("Authorization", "Bearer " + KEY);
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> chat(String body, String... headers) throws Exception {
        HttpRequest.Builder request = requestTo("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return send(request);
    }

    HttpResponse<String> book(String idempotencyKey) throws Exception {
        return send(requestTo("/v1/services/book/seat")
                .header("Idempotency-Key", idempotencyKey)
                .POST(HttpRequest.BodyPublishers.ofString("{}")));
    }

    long refusals(String reason) {
        return metrics.counter("refusals." + reason).getCount();
    }

    static JsonNode json(HttpResponse<String> response) throws IOException {
        return Json.read(response.body().getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        entry.shutdown(0);
        engine.close();
        service.close();
        control.close();
    }
}
