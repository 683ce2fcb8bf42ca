package org.cicadahead.testbed.emulator;

import com.codahale.metrics.MetricRegistry;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.cicadahead.endpoint.EndpointConfig;
import org.cicadahead.endpoint.EndpointNode;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.Role;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.RunId;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.Ping;
import org.cicadahead.protocol.Pong;
import org.cicadahead.protocol.RunChunk;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.PeerCall;
import org.cicadahead.wire.PeerClient;
import org.cicadahead.wire.StreamListener;
import org.cicadahead.wire.WireException;

/** An endpoint daemon with a fake control on one side and a fake entry on the other. */
final class EndpointHarness implements Closeable {
    private static final long WAIT_MILLIS = 15_000;

    final FakeControl control = new FakeControl();
    final MetricRegistry metrics = new MetricRegistry();
    final AtomicInteger runs = new AtomicInteger();
    final EndpointConfig config;
    EndpointNode node;
    private PeerClient entry;

    /** What an entry got for one run. */
    static final class Answer {
        final CompletableFuture<RunEnd> end = new CompletableFuture<>();
        final StringBuffer body = new StringBuffer();
        PeerCall call;
        volatile long chunks;
        volatile boolean outOfOrder;

        RunEnd get() throws Exception {
            return end.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        String body() {
            return body.toString();
        }
    }

    EndpointHarness(EndpointKind kind, URI target, int capacity) throws Exception {
        InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ZoneName zone = ZoneName.of("z1");
        config = new EndpointConfig(
                new DaemonInfo(DaemonId.of("d1"), Set.of(Role.ENDPOINT), zone, 1, "127.0.0.1:0"),
                EndpointId.of("e1"),
                kind,
                Set.of(PoolName.of("pool")),
                Set.of("model"),
                target,
                List.of(control.address()),
                listen,
                capacity,
                1_000_000,
                true,
                4);
        start();
    }

    void start() throws Exception {
        node = EndpointNode.start(config, metrics);
        entry = PeerClient.to(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()), MessageCatalog.standard());
        await("the node is ready", node::isReady);
    }

    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("not within " + WAIT_MILLIS + " ms: " + what);
            }
            Thread.onSpinWait();
        }
    }

    Answer complete(String program, String text, int tokens) {
        return run(request("open", program, text, tokens, 30_000, null));
    }

    Answer call(String key) {
        ClaimRef claim =
                key == null ? null : new ClaimRef(ClaimKey.of(OrganisationId.of("acme"), IdempotencyKey.of(key)), 1);
        return run(request("acme", null, "{}", 0, 10_000, claim));
    }

    RunRequest request(String org, String program, String text, int tokens, long deadline, ClaimRef claim) {
        OrganisationId organisation = OrganisationId.of(org);
        ProgramKey key = program == null ? null : ProgramKey.of(organisation, ProgramId.of(program));
        var body = Codec.json().createObjectNode().put("model", "model").put("max_tokens", tokens);
        body.put("cache_owner", "other/program");
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        Map<String, String> headers = claim == null
                ? Map.of("Authorization", "Bearer ck_secret")
                : Map.of("Idempotency-Key", claim.key().key().value(), "Authorization", "Bearer ck_secret");
        return new RunRequest(
                RunId.of("run-" + runs.incrementAndGet()),
                organisation,
                1,
                key,
                key,
                0,
                claim,
                RouteName.of("route"),
                QueuePolicy.FAIR,
                digest(text),
                false,
                "POST",
                "/v1/call",
                headers,
                body.toString().getBytes(StandardCharsets.UTF_8),
                claim == null,
                text.length() / 4,
                tokens,
                deadline);
    }

    static RequestDigest digest(String text) {
        return RequestDigest.of(String.format("%064x", text.hashCode() & 0xffffffffL));
    }

    Answer run(RunRequest request) {
        Answer answer = new Answer();
        answer.call = entry.stream(request, new StreamListener() {
            @Override
            public void part(Message part) {
                RunChunk chunk = (RunChunk) part;
                answer.outOfOrder |= chunk.sequence() != answer.chunks;
                answer.chunks++;
                answer.body.append(new String(chunk.data(), StandardCharsets.UTF_8));
            }

            @Override
            public void end(Message reply) {
                answer.end.complete((RunEnd) reply);
            }

            @Override
            public void failed(WireException cause) {
                answer.end.completeExceptionally(cause);
            }
        });
        return answer;
    }

    /** Returns how many runs wait or run at the daemon. */
    int open() {
        Pong pong =
                (Pong) entry.call(new Ping(DaemonId.of("entry")), WAIT_MILLIS).join();
        return pong.load().queued() + pong.load().running();
    }

    /** Returns the content of a stream of events. */
    static String content(String events) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: ")) {
                text.append(Codec.json()
                        .readTree(line.substring("data: ".length()))
                        .path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText());
            }
        }
        return text.toString();
    }

    void stop(long timeoutMillis) {
        node.shutdown(timeoutMillis);
        entry.close();
    }

    @Override
    public void close() {
        stop(0);
        control.close();
    }
}
