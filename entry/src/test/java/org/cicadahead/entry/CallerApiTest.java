package org.cicadahead.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.wire.Codec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the HTTP API with invalid requests, and that no key of a caller is passed on to an endpoint. */
class CallerApiTest {
    private static final String CHAT = EntryFixture.chat("plan", false, "Hi");
    private static final String AUTH = "Authorization: Bearer " + EntryFixture.KEY + "\r\n";
    private static final String POST = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
    /** Length of the end of a key that is the same in all encodings that the tests use. */
    private static final int KEY_SUFFIX_LENGTH = 40;

    private EntryFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new EntryFixture();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** Invalid requests as sent over the socket. None of them may run. */
    static Stream<Arguments> refusedRequests() {
        return Stream.of(
                invalid("no key", RefusalReason.KEY_INVALID, POST + body(CHAT)),
                invalid("wrong key", RefusalReason.KEY_INVALID, POST + "Authorization: Bearer ck_x\r\n" + body(CHAT)),
                invalid("two keys", RefusalReason.KEY_INVALID, POST + AUTH + "X-Api-Key: other\r\n" + body(CHAT)),
                invalid("key in query", RefusalReason.KEY_IN_URL, post("/v1/services/book/x?q=" + EntryFixture.KEY)),
                invalid("key parameter", RefusalReason.KEY_IN_URL, post("/v1/services/book/x?API_KEY=abc")),
                invalid(
                        "encoded key",
                        RefusalReason.KEY_IN_URL,
                        post("/v1/services/book/%63k_" + EntryFixture.KEY.substring(3))),
                invalid("user info", RefusalReason.KEY_IN_URL, post("http://u:p@h/v1/services/book/x")),
                invalid("unknown path", RefusalReason.ROUTE_UNKNOWN, post("/v2/x")),
                invalid("dot segments", RefusalReason.REQUEST_MALFORMED, post("/v1/services/book/%2e%2e/x")),
                invalid("unknown route", RefusalReason.ROUTE_UNKNOWN, chat(EntryFixture.chat("nope", false, "Hi"))),
                invalid(
                        "forbidden route",
                        RefusalReason.ROUTE_FORBIDDEN,
                        chat(EntryFixture.chat("other", false, "Hi"))),
                invalid("unknown pool", RefusalReason.POOL_UNKNOWN, chat(EntryFixture.chat("lost", false, "Hi"))),
                invalid("service as a chat", RefusalReason.ROUTE_UNKNOWN, chat(EntryFixture.chat("book", false, "Hi"))),
                invalid("no idempotency key", RefusalReason.IDEMPOTENCY_KEY_REQUIRED, post("/v1/services/book/x")),
                invalid("not JSON", RefusalReason.REQUEST_MALFORMED, chat("{")),
                invalid("no messages", RefusalReason.REQUEST_MALFORMED, chat("{\"model\":\"plan\"}")),
                invalid("bad stream", RefusalReason.REQUEST_MALFORMED, chat(CHAT.replace("false", "\"no\""))),
                invalid("empty body", RefusalReason.REQUEST_MALFORMED, chat("")),
                invalid("large body", RefusalReason.BODY_TOO_LARGE, chat(" ".repeat(5_000))),
                invalid(
                        "large chunked body",
                        RefusalReason.BODY_TOO_LARGE,
                        POST + AUTH + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + " ".repeat(5_000)
                                + "\r\n0\r\n\r\n"),
                invalid("body cut short", RefusalReason.BODY_INCOMPLETE, POST + AUTH + "Content-Length: 900\r\n\r\n{"),
                invalid(
                        "chunked body cut short",
                        RefusalReason.BODY_INCOMPLETE,
                        POST + AUTH + "Transfer-Encoding: chunked\r\n\r\n10\r\n{"),
                invalid(
                        "bad step",
                        RefusalReason.HEADER_INVALID,
                        step("Cicadahead-Step: 0\r\nCicadahead-Program: p\r\n")),
                invalid("step alone", RefusalReason.HEADER_INVALID, step("Cicadahead-Step: 1\r\n")),
                invalid(
                        "two programs",
                        RefusalReason.HEADER_INVALID,
                        step("Cicadahead-Step: 1\r\nCicadahead-Program: p\r\nCicadahead-Program: q\r\n")),
                invalid(
                        "bad program",
                        RefusalReason.HEADER_INVALID,
                        step("Cicadahead-Step: 1\r\nCicadahead-Program: a/b\r\n")),
                invalid("bad header", RefusalReason.REQUEST_MALFORMED, POST + "Bad Header\r\n" + body(CHAT)),
                invalid(
                        "two lengths",
                        RefusalReason.REQUEST_MALFORMED,
                        POST + AUTH + "Content-Length: 1\r\n" + body(CHAT)),
                invalid("bad request line", RefusalReason.REQUEST_MALFORMED, "nonsense\r\n\r\n"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refusedRequests")
    void invalidRequestIsRefusedAndCountedWithoutARun(String name, RefusalReason reason, String request)
            throws Exception {
        String response = exchange(request);
        assertThat(response).startsWith("HTTP/1.1 " + reason.status() + " ");
        assertThat(response).contains("\"reason\":\"" + reason.code() + "\",\"not_run\":true");
        assertThat(response).doesNotContain(EntryFixture.KEY);
        assertThat(fixture.refusals(reason.code())).isEqualTo(1);
        assertThat(fixture.engine.runs).isEmpty();
        assertThat(fixture.service.runs).isEmpty();
        assertThat(fixture.metrics.getCounters()).hasSize(2 * RefusalReason.values().length + 2);
    }

    /** Requests with a key in another place than the Authorization header, or in several places. */
    static Stream<String> misplacedKeys() {
        String key = EntryFixture.KEY;
        String escaped = "\\u0063k" + key.substring(2);
        return Stream.of(
                POST + AUTH + "aUTHORIZATION: bearer " + key + "\r\n" + body(CHAT),
                POST + "x-API-key: " + key + "\r\n" + body(CHAT),
                POST + AUTH + "Api-Key: " + key + "\r\nProxy-Authorization: Basic " + key + "\r\n" + body(CHAT),
                POST + AUTH + "Cookie: a=" + key + "\r\nCookie: b=" + key + "\r\nX-Other: " + key + "\r\n" + body(CHAT),
                POST + AUTH + "Accept: " + key + "\r\n" + body(CHAT),
                POST + AUTH + "Content-Type: text/" + key + "\r\n" + body(CHAT),
                POST + AUTH + "Idempotency-Key: " + key + "\r\n" + body(CHAT),
                step("Cicadahead-Step: 1\r\nCicadahead-Program: " + key + "\r\n"),
                chat(EntryFixture.chat("plan", false, key)),
                chat(EntryFixture.chat("plan", true, escaped)),
                chat(CHAT.replaceFirst("\\{", "{\"user\":\"" + key + "\",")),
                post("/v1/services/book/x/" + key),
                "POST /v1/services/book/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nIdempotency-Key: 1\r\n" + AUTH
                        + body("x=" + key),
                serviceCall("{\"x\":\"" + escaped + "\"}"),
                serviceCall("{\"x\":\"" + key.replace("_", "\\u005F") + "\",\"y\":\"100%\"}"),
                serviceCall("x=100%&y=%63k" + key.substring(2)),
                POST + AUTH + "Trailer: Authorization\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(CHAT.length()) + "\r\n" + CHAT + "\r\n0\r\nAuthorization: Bearer " + key
                        + "\r\n\r\n");
    }

    private static String serviceCall(String body) {
        return "POST /v1/services/book/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nIdempotency-Key: 1\r\n" + AUTH
                + body(body);
    }

    @ParameterizedTest
    @MethodSource("misplacedKeys")
    void misplacedKeyIsNotForwarded(String request) throws Exception {
        String response = exchange(request);
        assertThat(response).startsWith("HTTP/1.1 ");
        for (FakeEndpoint endpoint : new FakeEndpoint[] {fixture.engine, fixture.service}) {
            for (RunRequest run : endpoint.runs) {
                String fields = new String(Codec.pack(run), StandardCharsets.ISO_8859_1);
                assertThat(fields).doesNotContain(EntryFixture.KEY);
                assertWithMessage("the end of a key is not forwarded after an encoded beginning")
                        .that(fields)
                        .doesNotContain(EntryFixture.KEY.substring(EntryFixture.KEY.length() - KEY_SUFFIX_LENGTH));
            }
        }
        assertWithMessage("the response contains no key").that(response).doesNotContain(EntryFixture.KEY);
    }

    @Test
    void trailersAreIgnoredAndOtherHeadersAreNotForwarded() throws Exception {
        String request = misplacedKeys().reduce((first, last) -> last).orElseThrow();
        assertThat(exchange(request)).startsWith("HTTP/1.1 200 ");
        assertThat(fixture.engine.runs.get(0).headers().keySet()).containsExactly("content-type");
    }

    /** Tests that a caller may shut down its output after the request; this must not be taken for a disconnect. */
    @Test
    void halfClosedConnectionIsServed() throws Exception {
        assertThat(exchange(chat(CHAT))).startsWith("HTTP/1.1 200 ");
    }

    @Test
    void disconnectOfTheCallerCancelsItsRun() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        stream(cancelled, FakeEndpoint.event("x"), 1);
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.entry.httpPort());
        socket.getOutputStream()
                .write(chat(EntryFixture.chat("plan", true, "Hi")).getBytes(StandardCharsets.UTF_8));
        assertThat(socket.getInputStream().read()).isEqualTo('H');
        socket.setSoLinger(true, 0);
        socket.close();
        cancelled.get();
        EntryFixture.await(() -> fixture.refusals("caller_gone") == 1);
    }

    /**
     * Tests that a refusal sent before the body was read has the header "Connection: close". Without it, a caller that
     * reuses the connection loses its next request, as Jetty closes the connection.
     */
    @Test
    void refusalBeforeTheBodyIsReadClosesTheConnection() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.entry.httpPort())) {
            socket.setSoTimeout(15_000);
            String head = "POST /v1/chat/completions?key=secret HTTP/1.1\r\nHost: x\r\n" + AUTH
                    + "Content-Length: 1000\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(response);
            assertThat(response.toString(StandardCharsets.UTF_8)).containsMatch("(?i)connection: close");
        }
    }

    /**
     * Tests that the run of a caller that does not read its stream is cancelled. Otherwise its events would accumulate
     * in memory.
     */
    @Test
    void runOfASlowCallerIsCancelledAndOthersAreServed() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        stream(cancelled, FakeEndpoint.event("x".repeat(100_000)), 0);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), fixture.entry.httpPort()));
            socket.getOutputStream()
                    .write(chat(EntryFixture.chat("plan", true, "Hi")).getBytes(StandardCharsets.UTF_8));
            cancelled.get();
            EntryFixture.await(() -> fixture.refusals("caller_too_slow") == 1);
            fixture.engine.behaviour = FakeEndpoint::respond;
            assertThat(fixture.chat(CHAT).statusCode()).isEqualTo(200);
        }
    }

    @Test
    void gracefulShutdownCompletesRunningRequests() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture.engine.behaviour = (run, responder) -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            FakeEndpoint.respond(run, responder);
        };
        CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> exchangeUnchecked(chat(CHAT)));
        EntryFixture.await(() -> fixture.engine.runs.size() == 1);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> fixture.entry.shutdown(20_000));
        EntryFixture.await(() -> !fixture.entry.isReady());
        assertThat(stopped.isDone()).isFalse();
        release.countDown();
        assertThat(response.get()).startsWith("HTTP/1.1 200 ");
        stopped.get();
    }

    /**
     * Tests that recorded messages that the caller repeats are in the prompt only once, even if they differ in the
     * order of members or in null members.
     */
    @Test
    void historySentByTheCallerIsNotDuplicated() throws Exception {
        String first = "{\"role\":\"user\",\"content\":\"one\"}";
        String reply = "{\"content\":\"Hello\",\"role\":\"assistant\",\"refusal\":null}";
        String second = "{\"role\":\"user\",\"content\":\"two\"}";
        fixture.chat(chatOf(first), "Cicadahead-Program", "p", "Cicadahead-Step", "1");
        HttpResponse<String> response = fixture.chat(
                chatOf(first + "," + reply + "," + second), "Cicadahead-Program", "p", "Cicadahead-Step", "2");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(Json.read(fixture.engine.runs.get(1).body()).path("messages").size())
                .isEqualTo(3);
    }

    private static String chatOf(String messages) {
        return "{\"model\":\"plan\",\"messages\":[" + messages + "]}";
    }

    private static Arguments invalid(String name, RefusalReason reason, String request) {
        return Arguments.of(name, reason, request);
    }

    private static String body(String body) {
        return "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    private static String chat(String body) {
        return POST + AUTH + body(body);
    }

    private static String step(String headers) {
        return POST + AUTH + headers + body(CHAT);
    }

    private static String post(String path) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + AUTH + body("{}");
    }

    /** Makes the engine stream an event repeatedly until the run is cancelled, with a pause after each event. */
    private void stream(CompletableFuture<Void> cancelled, String event, long pauseMillis) {
        fixture.engine.behaviour = (run, responder) -> {
            responder.onCancel(() -> cancelled.complete(null));
            AtomicInteger sequence = new AtomicInteger();
            while (!cancelled.isDone() && responder.queuedBytes() < 50_000_000) {
                responder.part(FakeEndpoint.chunk(run, sequence.getAndIncrement(), event));
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
            }
        };
    }

    /** Sends a request, shuts down the output and returns the complete response. */
    private String exchange(String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.entry.httpPort())) {
            socket.setSoTimeout(15_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            socket.shutdownOutput();
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(response);
            return response.toString(StandardCharsets.UTF_8);
        }
    }

    private String exchangeUnchecked(String request) {
        try {
            return exchange(request);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
