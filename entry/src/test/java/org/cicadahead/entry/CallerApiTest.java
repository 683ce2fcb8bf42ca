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

/** Guards the HTTP API against callers that err, and endpoints against the callers' keys. */
class CallerApiTest {
    private static final String CHAT = EntryFixture.chat("plan", false, "Hi");
    private static final String AUTH = "Authorization: Bearer " + EntryFixture.KEY + "\r\n";
    private static final String POST = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
    /** The end of a key that no encoding of its first characters changes. */
    private static final int SECRET_TAIL = 40;

    private EntryFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new EntryFixture();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** Requests as raw bytes; none of them runs. */
    static Stream<Arguments> refused() {
        return Stream.of(
                raw("no key", RefusalReason.KEY_INVALID, POST + body(CHAT)),
                raw("wrong key", RefusalReason.KEY_INVALID, POST + "Authorization: Bearer ck_x\r\n" + body(CHAT)),
                raw("two keys", RefusalReason.KEY_INVALID, POST + AUTH + "X-Api-Key: other\r\n" + body(CHAT)),
                raw("key in query", RefusalReason.KEY_IN_URL, post("/v1/services/book/x?q=" + EntryFixture.KEY)),
                raw("key parameter", RefusalReason.KEY_IN_URL, post("/v1/services/book/x?API_KEY=abc")),
                raw(
                        "encoded key",
                        RefusalReason.KEY_IN_URL,
                        post("/v1/services/book/%63k_" + EntryFixture.KEY.substring(3))),
                raw("user info", RefusalReason.KEY_IN_URL, post("http://u:p@h/v1/services/book/x")),
                raw("unknown path", RefusalReason.ROUTE_UNKNOWN, post("/v2/x")),
                raw("dot segments", RefusalReason.REQUEST_MALFORMED, post("/v1/services/book/%2e%2e/x")),
                raw("unknown route", RefusalReason.ROUTE_UNKNOWN, chat(EntryFixture.chat("nope", false, "Hi"))),
                raw("forbidden route", RefusalReason.ROUTE_FORBIDDEN, chat(EntryFixture.chat("other", false, "Hi"))),
                raw("unknown pool", RefusalReason.POOL_UNKNOWN, chat(EntryFixture.chat("lost", false, "Hi"))),
                raw("service as a chat", RefusalReason.ROUTE_UNKNOWN, chat(EntryFixture.chat("book", false, "Hi"))),
                raw("no idempotency key", RefusalReason.IDEMPOTENCY_KEY_REQUIRED, post("/v1/services/book/x")),
                raw("not JSON", RefusalReason.REQUEST_MALFORMED, chat("{")),
                raw("no messages", RefusalReason.REQUEST_MALFORMED, chat("{\"model\":\"plan\"}")),
                raw("bad stream", RefusalReason.REQUEST_MALFORMED, chat(CHAT.replace("false", "\"no\""))),
                raw("empty body", RefusalReason.REQUEST_MALFORMED, chat("")),
                raw("large body", RefusalReason.BODY_TOO_LARGE, chat(" ".repeat(5_000))),
                raw(
                        "large chunked body",
                        RefusalReason.BODY_TOO_LARGE,
                        POST + AUTH + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + " ".repeat(5_000)
                                + "\r\n0\r\n\r\n"),
                raw("body cut short", RefusalReason.BODY_INCOMPLETE, POST + AUTH + "Content-Length: 900\r\n\r\n{"),
                raw(
                        "chunked body cut short",
                        RefusalReason.BODY_INCOMPLETE,
                        POST + AUTH + "Transfer-Encoding: chunked\r\n\r\n10\r\n{"),
                raw("bad step", RefusalReason.HEADER_INVALID, step("Cicadahead-Step: 0\r\nCicadahead-Program: p\r\n")),
                raw("step alone", RefusalReason.HEADER_INVALID, step("Cicadahead-Step: 1\r\n")),
                raw(
                        "two programs",
                        RefusalReason.HEADER_INVALID,
                        step("Cicadahead-Step: 1\r\nCicadahead-Program: p\r\nCicadahead-Program: q\r\n")),
                raw(
                        "bad program",
                        RefusalReason.HEADER_INVALID,
                        step("Cicadahead-Step: 1\r\nCicadahead-Program: a/b\r\n")),
                raw("bad header", RefusalReason.REQUEST_MALFORMED, POST + "Bad Header\r\n" + body(CHAT)),
                raw("two lengths", RefusalReason.REQUEST_MALFORMED, POST + AUTH + "Content-Length: 1\r\n" + body(CHAT)),
                raw("bad request line", RefusalReason.REQUEST_MALFORMED, "nonsense\r\n\r\n"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refused")
    void errorOfTheCallerIsRefusedAndCountedAndNothingRuns(String name, RefusalReason reason, String request)
            throws Exception {
        String answer = exchange(request);
        assertThat(answer).startsWith("HTTP/1.1 " + reason.status() + " ");
        assertThat(answer).contains("\"reason\":\"" + reason.code() + "\",\"not_run\":true");
        assertThat(answer).doesNotContain(EntryFixture.KEY);
        assertThat(fixture.refusals(reason.code())).isEqualTo(1);
        assertThat(fixture.engine.runs).isEmpty();
        assertThat(fixture.service.runs).isEmpty();
        assertThat(fixture.metrics.getCounters()).hasSize(2 * RefusalReason.values().length + 2);
    }

    /** Where a caller may put its key beside or in place of the proper header. */
    static Stream<String> keyPlaces() {
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
    @MethodSource("keyPlaces")
    void noEndpointSeesAKeyWhereverTheCallerPutsIt(String request) throws Exception {
        String answer = exchange(request);
        assertThat(answer).startsWith("HTTP/1.1 ");
        for (FakeEndpoint endpoint : new FakeEndpoint[] {fixture.engine, fixture.service}) {
            for (RunRequest run : endpoint.runs) {
                String fields = new String(Codec.pack(run), StandardCharsets.ISO_8859_1);
                assertThat(fields).doesNotContain(EntryFixture.KEY);
                assertWithMessage("an encoded prefix hides no key")
                        .that(fields)
                        .doesNotContain(EntryFixture.KEY.substring(EntryFixture.KEY.length() - SECRET_TAIL));
            }
        }
        assertWithMessage("the answer tells no key").that(answer).doesNotContain(EntryFixture.KEY);
    }

    @Test
    void trailersAndForeignHeadersDoNotStopARequest() throws Exception {
        String request = keyPlaces().reduce((first, last) -> last).orElseThrow();
        assertThat(exchange(request)).startsWith("HTTP/1.1 200 ");
        assertThat(fixture.engine.runs.get(0).headers().keySet()).containsExactly("content-type");
    }

    @Test
    void callerThatClosedItsHalfAfterAWholeRequestIsServed() throws Exception {
        assertThat(exchange(chat(CHAT))).startsWith("HTTP/1.1 200 ");
    }

    @Test
    void vanishedCallerCancelsItsStream() throws Exception {
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
     * Guards against a kept connection that is closed without notice, on which the caller's next request is lost: a
     * refusal that comes before the body was read must say that the connection ends.
     */
    @Test
    void refusalBeforeTheBodyIsReadAnnouncesTheEndOfTheConnection() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.entry.httpPort())) {
            socket.setSoTimeout(15_000);
            String head = "POST /v1/chat/completions?key=secret HTTP/1.1\r\nHost: x\r\n" + AUTH
                    + "Content-Length: 1000\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(answer);
            assertThat(answer.toString(StandardCharsets.UTF_8)).containsMatch("(?i)connection: close");
        }
    }

    @Test
    void slowCallerIsCancelledAndOthersAreServed() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        stream(cancelled, FakeEndpoint.event("x".repeat(100_000)), 0);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), fixture.entry.httpPort()));
            socket.getOutputStream()
                    .write(chat(EntryFixture.chat("plan", true, "Hi")).getBytes(StandardCharsets.UTF_8));
            cancelled.get();
            EntryFixture.await(() -> fixture.refusals("caller_too_slow") == 1);
            fixture.engine.behaviour = FakeEndpoint::answer;
            assertThat(fixture.chat(CHAT).statusCode()).isEqualTo(200);
        }
    }

    @Test
    void gracefulShutdownFinishesWhatRuns() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture.engine.behaviour = (run, responder) -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            FakeEndpoint.answer(run, responder);
        };
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> exchangeUnchecked(chat(CHAT)));
        EntryFixture.await(() -> fixture.engine.runs.size() == 1);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> fixture.entry.shutdown(20_000));
        EntryFixture.await(() -> !fixture.entry.isReady());
        assertThat(stopped.isDone()).isFalse();
        release.countDown();
        assertThat(answer.get()).startsWith("HTTP/1.1 200 ");
        stopped.get();
    }

    @Test
    void sentHistoryIsNotDuplicated() throws Exception {
        String first = "{\"role\":\"user\",\"content\":\"one\"}";
        String answer = "{\"content\":\"Hello\",\"role\":\"assistant\",\"refusal\":null}";
        String second = "{\"role\":\"user\",\"content\":\"two\"}";
        fixture.chat(chatOf(first), "Cicadahead-Program", "p", "Cicadahead-Step", "1");
        HttpResponse<String> response = fixture.chat(
                chatOf(first + "," + answer + "," + second), "Cicadahead-Program", "p", "Cicadahead-Step", "2");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(Json.read(fixture.engine.runs.get(1).body()).path("messages").size())
                .isEqualTo(3);
    }

    private static String chatOf(String messages) {
        return "{\"model\":\"plan\",\"messages\":[" + messages + "]}";
    }

    private static Arguments raw(String name, RefusalReason reason, String request) {
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

    /** Streams an event again and again until the run is cancelled, with a pause that an engine would make. */
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

    /** Sends bytes, closes the sending half and returns the whole answer. */
    private String exchange(String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.entry.httpPort())) {
            socket.setSoTimeout(15_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            socket.shutdownOutput();
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(answer);
            return answer.toString(StandardCharsets.UTF_8);
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
