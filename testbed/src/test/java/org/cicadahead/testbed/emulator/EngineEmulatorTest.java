package org.cicadahead.testbed.emulator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.cicadahead.wire.Codec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an emulator that departs from the protocol, which would make every test above it meaningless. */
class EngineEmulatorTest {
    private static final String LONG = "word ".repeat(64);

    private final HttpClient client = HttpClient.newHttpClient();
    private EngineEmulator engine;

    @BeforeEach
    void start() throws IOException {
        engine = EngineEmulator.start(0, EngineOptions.fast(1));
    }

    @AfterEach
    void close() throws IOException {
        engine.close();
    }

    @Test
    void streamHasEveryEventOnceAndUsageInTheLast() throws Exception {
        String body = complete("r1", "acme/p1", "hello", 5, true).body();
        assertThat(body).startsWith("id: 0\n");
        assertThat(body).contains("id: 5\n");
        assertThat(body).doesNotContain("id: 6\n");
        assertThat(body).doesNotContain("[DONE]");
        assertThat(body.substring(body.indexOf("id: 5"))).contains("\"completion_tokens\":5");
        assertThat(answer(body)).isEqualTo(EngineAnswers.content("hello", 5));
    }

    @Test
    void secondTurnFindsTheFirstInTheCacheUntilItIsReleased() throws Exception {
        complete("r1", "acme/p1", LONG, 5, false);
        assertThat(engine.owners()).containsKey("acme/p1");
        assertThat(cached(complete("r2", "acme/p1", LONG, 5, false))).isAtLeast(64L);
        send("DELETE", "/v1/engine/cache/acme%2Fp1", "");
        assertThat(engine.owners()).isEmpty();
        assertThat(cached(complete("r3", "acme/p1", LONG, 5, false))).isEqualTo(0);
    }

    @Test
    void brokenStreamIsResumedByOffset() throws Exception {
        engine.faults().set(EngineFault.BREAK_AFTER_EVENTS, "3");
        assertThrows(IOException.class, () -> complete("r1", null, "hello", 10, true));
        String rest = send("GET", "/v1/engine/streams/r1?offset=3", "").body();
        assertThat(rest).startsWith("id: 3\n");
        assertThat(rest).contains("id: 10\n");
    }

    @Test
    void crashMarkerStartsANewInstanceWithAnEmptyCache() throws Exception {
        complete("r1", "acme/p1", LONG, 5, false);
        String before = engine.instance();
        engine.faults().set(EngineFault.CRASH_MARKER, "poison");
        assertThrows(IOException.class, () -> complete("r2", null, "poison", 5, true));
        assertThat(engine.instance()).isNotEqualTo(before);
        assertThat(engine.owners()).isEmpty();
        assertThat(complete("r3", null, "hello", 5, true).statusCode()).isEqualTo(200);
    }

    @Test
    void oldFenceIsRefusedUnlessIgnored() throws Exception {
        String order = "{\"fence\":%d,\"kind\":\"load_model\",\"argument\":\"m2\"}";
        assertThat(send("POST", "/v1/engine/orders", order.formatted(7)).statusCode())
                .isEqualTo(202);
        assertThat(send("POST", "/v1/engine/orders", order.formatted(6)).statusCode())
                .isEqualTo(409);
        send("PUT", "/emulator/faults/ignore_fences", "1");
        assertThat(send("POST", "/v1/engine/orders", order.formatted(6)).statusCode())
                .isEqualTo(202);
    }

    @Test
    void exportAndImportMoveTheCache() throws Exception {
        complete("r1", "acme/p1", LONG, 5, false);
        assertThat(send("POST", "/v1/engine/cache/acme%2Fp1/export", "").statusCode())
                .isEqualTo(200);
        assertThat(cached(complete("r2", null, LONG, 5, false))).isEqualTo(0);
        assertThat(send("POST", "/v1/engine/cache/acme%2Fp1/import", "").statusCode())
                .isEqualTo(200);
        assertThat(cached(complete("r3", null, LONG, 5, false))).isAtLeast(64L);
    }

    @Test
    void fullCacheEvictsTheLeastRecentlyUsedOwner() throws Exception {
        engine.close();
        engine = EngineEmulator.start(0, EngineOptions.fast(1).withCacheCapacity(200));
        for (int i = 0; i < 8; i++) {
            complete("r" + i, "acme/p" + i, "program " + i + LONG, 5, false);
        }
        assertThat(engine.owners()).containsKey("acme/p7");
        assertThat(engine.owners()).doesNotContainKey("acme/p0");
    }

    @Test
    void journalFindsAKeyInHeadersAndBodies() throws Exception {
        complete("r1", null, "ck_secret", 5, false);
        assertThat(engine.journal().contains("ck_secret")).isTrue();
        assertThat(engine.journal().contains("ck_other")).isFalse();
        JsonNode listed =
                Codec.json().readTree(send("GET", "/emulator/requests", "").body());
        assertThat(listed.get("requests")).hasSize(1);
    }

    @Test
    void cancelEndsAStream() throws Exception {
        var running = client.sendAsync(
                request("POST", "/v1/chat/completions", body("r1", null, "hello", 1_000_000, true)),
                HttpResponse.BodyHandlers.ofString());
        while (!send("DELETE", "/v1/engine/streams/r1", "").body().contains("true")) {
            Thread.onSpinWait();
        }
        assertThat(running.get().body()).doesNotContain("usage");
        assertThat(engine.busy()).isEqualTo(0);
    }

    private static String answer(String events) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: ")) {
                text.append(Codec.json()
                        .readTree(line.substring(6))
                        .path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText());
            }
        }
        return text.toString();
    }

    private static long cached(HttpResponse<String> response) throws IOException {
        return Codec.json()
                .readTree(response.body())
                .path("usage")
                .path("prompt_tokens_details")
                .path("cached_tokens")
                .asLong(-1);
    }

    private HttpResponse<String> complete(String run, String owner, String text, int tokens, boolean stream)
            throws IOException, InterruptedException {
        return send("POST", "/v1/chat/completions", body(run, owner, text, tokens, stream));
    }

    private static String body(String run, String owner, String text, int tokens, boolean stream) {
        var body = Codec.json()
                .createObjectNode()
                .put("model", "model")
                .put("run_id", run)
                .put("cache_owner", owner)
                .put("max_tokens", tokens)
                .put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        return body.toString();
    }

    private HttpResponse<String> send(String method, String path, String body)
            throws IOException, InterruptedException {
        return client.send(request(method, path, body), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest request(String method, String path, String body) {
        return HttpRequest.newBuilder(URI.create(engine.uri() + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
    }
}
