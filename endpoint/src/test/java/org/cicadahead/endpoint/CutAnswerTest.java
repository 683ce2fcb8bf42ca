package org.cicadahead.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cicadahead.endpoint.CutAnswerServer.Cut;
import org.cicadahead.engine.EngineClient;
import org.cicadahead.engine.EngineException;
import org.cicadahead.engine.EngineListener;
import org.cicadahead.engine.EngineRun;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.Usage;
import org.cicadahead.service.ServiceCall;
import org.cicadahead.service.ServiceClient;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against answers of engines and services that were cut at any byte and are reported as complete.
 *
 * <p>A body of a service that is not JSON and has neither a length nor chunks ends with an orderly close of its
 * connection. Nothing in such an answer tells that its rest is missing, so that this case alone is exempt.
 */
class CutAnswerTest {
    private static final String FAILED = "failed";
    private static final int CLIENTS = 8;
    /** Calls of one client at the same time. */
    private static final int MAX_CONCURRENT = 16;

    private static final long TIMEOUT_MILLIS = 20_000;
    /** Bounds the wait for an answer whose rest never comes. */
    private static final long SILENCE_TIMEOUT_MILLIS = 300;

    private static final String STREAM = "Content-Type: text/event-stream\r\n";
    private static final String JSON = "Content-Type: application/json\r\n";
    private static final List<String> EVENTS = List.of(
            event("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}"),
            event("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"b\"},\"finish_reason\":\"stop\"}]}"),
            event("{\"choices\":[],\"usage\":{\"completion_tokens\":2}}"),
            event("[DONE]"));
    private static final List<String> EVENTS_WITHOUT_DONE = EVENTS.subList(0, 3);
    private static final List<String> EVENTS_WITHOUT_USAGE = List.of(EVENTS.get(0), EVENTS.get(1), EVENTS.get(3));
    private static final List<String> EVENTS_WITH_RUNNING_USAGE = List.of(
            event("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}],\"usage\":{\"completion_tokens\":1}}"),
            event("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"b\"}}],\"usage\":{\"completion_tokens\":2}}"),
            EVENTS.get(2),
            EVENTS.get(3));
    private static final List<String> BODY = List.of(
            "{\"choices\":[{\"index\":0,\"message\":{\"content\":\"ab\"},",
            "\"finish_reason\":\"stop\"}],\"usage\":{}}");
    private static final List<String> STATUS =
            List.of("{\"instance\":\"i\",\"models\":[\"m\"],", "\"cachedTokens\":7}");
    private static final List<String> CACHE =
            List.of("[{\"owner\":\"o\",\"tokens\":1},", "{\"owner\":\"p\",\"tokens\":2}]");

    private final List<HttpClient> clients = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(HttpClients.start("test"));
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (HttpClient client : clients) {
            client.stop();
        }
    }

    private static String event(String data) {
        return "data: " + data + "\n\n";
    }

    /** The ways in which an answer tells its end. */
    private enum Framing {
        LENGTH {
            @Override
            String frame(String headers, List<String> parts) {
                String text = String.join("", parts);
                return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + text.length() + "\r\n\r\n" + text;
            }
        },
        CHUNKS {
            @Override
            String frame(String headers, List<String> parts) {
                return chunks(headers, parts, "");
            }
        },
        CHUNKS_WITH_TRAILER {
            @Override
            String frame(String headers, List<String> parts) {
                return chunks(headers, parts, "X-Trailer: t\r\n");
            }
        },
        CLOSE {
            @Override
            String frame(String headers, List<String> parts) {
                return "HTTP/1.1 200 OK\r\nConnection: close\r\n" + headers + "\r\n" + String.join("", parts);
            }
        },
        CLOSE_HTTP_1_0 {
            @Override
            String frame(String headers, List<String> parts) {
                return "HTTP/1.0 200 OK\r\n" + headers + "\r\n" + String.join("", parts);
            }
        };

        abstract String frame(String headers, List<String> parts);

        boolean endsWithConnection() {
            return this == CLOSE || this == CLOSE_HTTP_1_0;
        }

        private static String chunks(String headers, List<String> parts, String trailer) {
            StringBuilder text =
                    new StringBuilder("HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n");
            parts.forEach(part -> text.append(Integer.toHexString(part.length()))
                    .append("\r\n")
                    .append(part)
                    .append("\r\n"));
            return text.append("0\r\n").append(trailer).append("\r\n").toString();
        }
    }

    /** The calls whose answers are cut. */
    private enum Call {
        ENGINE_STREAM(STREAM, EVENTS),
        ENGINE_STREAM_WITHOUT_DONE(STREAM, EVENTS_WITHOUT_DONE),
        ENGINE_STREAM_WITHOUT_USAGE(STREAM, EVENTS_WITHOUT_USAGE),
        ENGINE_STREAM_WITH_RUNNING_USAGE(STREAM, EVENTS_WITH_RUNNING_USAGE),
        ENGINE_BODY(JSON, BODY),
        SERVICE(JSON, BODY),
        SERVICE_TEXT("Content-Type: text/plain\r\n", BODY),
        ENGINE_STATUS(JSON, STATUS),
        ENGINE_CACHE(JSON, CACHE);

        private final String headers;
        private final List<String> parts;

        Call(String headers, List<String> parts) {
            this.headers = headers;
            this.parts = parts;
        }

        /** Starts the call; returns a future of what was reported as success, or of {@link #FAILED}. */
        CompletableFuture<String> start(HttpClient http, URI target, long timeoutMillis) {
            EngineClient engine = EngineClient.to(http, target);
            return switch (this) {
                case ENGINE_BODY -> run(engine, false, timeoutMillis);
                case SERVICE, SERVICE_TEXT -> {
                    ServiceCall call = new ServiceCall("GET", "/s", Map.of(), null, timeoutMillis);
                    yield ServiceClient.to(http, target)
                            .call(call)
                            .handle((response, failure) -> failure != null
                                    ? FAILED
                                    : response.status() + " " + response.contentType() + " "
                                            + new String(response.body(), StandardCharsets.US_ASCII));
                }
                case ENGINE_STATUS ->
                    engine.status().handle((status, failure) -> failure != null ? FAILED : "" + status);
                case ENGINE_CACHE ->
                    engine.cacheList().handle((owners, failure) -> failure != null ? FAILED : "" + owners);
                default -> run(engine, true, timeoutMillis);
            };
        }

        private static CompletableFuture<String> run(EngineClient engine, boolean stream, long timeoutMillis) {
            CompletableFuture<String> result = new CompletableFuture<>();
            byte[] body = "{\"messages\":[]}".getBytes(StandardCharsets.US_ASCII);
            engine.run(new EngineRun(RunId.of("r"), "o", body, stream, timeoutMillis), new Recorder(result));
            return result;
        }
    }

    /** Records what an engine's answer is reported as. */
    private static final class Recorder implements EngineListener {
        private final CompletableFuture<String> result;
        private final StringBuffer received = new StringBuffer();

        Recorder(CompletableFuture<String> result) {
            this.result = result;
        }

        @Override
        public long data(byte[] data, int events) {
            received.append(new String(data, StandardCharsets.US_ASCII));
            return 0;
        }

        @Override
        public void ended(int status, String contentType, Usage usage) {
            result.complete(status + " " + contentType + " " + received);
        }

        @Override
        public void failed(EngineException cause) {
            result.complete(FAILED);
        }
    }

    private record Case(Call call, Framing framing, Cut cut) {
        String answer() {
            return framing.frame(call.headers, call.parts);
        }

        long timeoutMillis() {
            return cut == Cut.SILENCE ? SILENCE_TIMEOUT_MILLIS : TIMEOUT_MILLIS;
        }

        /** Returns whether an answer that was cut after a number of bytes is whole by the protocol. */
        boolean isExempt(int bytes) {
            return call == Call.SERVICE_TEXT
                    && framing.endsWithConnection()
                    && cut == Cut.CLOSE
                    && bytes >= answer().indexOf("\r\n\r\n") + 4;
        }
    }

    static Stream<Case> cases() {
        List<Case> cases = new ArrayList<>();
        for (Call call : Call.values()) {
            for (Framing framing : Framing.values()) {
                cases.add(new Case(call, framing, Cut.CLOSE));
                cases.add(new Case(call, framing, Cut.RESET));
            }
        }
        // The other calls wait in the same way for the rest of their answers.
        for (Call call : List.of(Call.ENGINE_STREAM, Call.ENGINE_BODY, Call.SERVICE)) {
            for (Framing framing : Framing.values()) {
                cases.add(new Case(call, framing, Cut.SILENCE));
            }
        }
        return cases.stream();
    }

    /** Returns the successes among the answers cut at each byte that report less than the whole answer. */
    private List<String> falseSuccesses(Case tested, boolean kept) throws Exception {
        List<String> found = new ArrayList<>();
        String answer = tested.answer();
        try (CutAnswerServer server = new CutAnswerServer(answer, tested.cut())) {
            String whole = whole(tested);
            assertThat(whole).isNotEqualTo(FAILED);
            List<CompletableFuture<String>> results = new ArrayList<>();
            List<Semaphore> free = new ArrayList<>();
            clients.forEach(client -> free.add(new Semaphore(kept ? 1 : MAX_CONCURRENT)));
            for (int bytes = 0; bytes < answer.length(); bytes++) {
                HttpClient client = clients.get(bytes % CLIENTS);
                Semaphore permits = free.get(bytes % CLIENTS);
                permits.acquire();
                if (kept) {
                    Call.ENGINE_BODY
                            .start(client, server.whole(), TIMEOUT_MILLIS)
                            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                }
                CompletableFuture<String> result =
                        tested.call().start(client, server.cutAfter(bytes), tested.timeoutMillis());
                result.whenComplete((text, failure) -> permits.release());
                results.add(result);
            }
            for (int bytes = 0; bytes < answer.length(); bytes++) {
                String result = results.get(bytes).get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                if (!result.equals(FAILED) && !result.equals(whole) && !tested.isExempt(bytes)) {
                    found.add("after " + bytes + " of " + answer.length() + " bytes: " + result);
                }
            }
            if (kept) {
                assertThat(server.cutOnKept()).isEqualTo(answer.length());
            }
        }
        return found;
    }

    /** Returns what the whole answer is reported as. */
    private String whole(Case tested) throws Exception {
        try (CutAnswerServer server = new CutAnswerServer(tested.answer(), Cut.CLOSE)) {
            return tested.call()
                    .start(clients.get(0), server.cutAfter(tested.answer().length()), TIMEOUT_MILLIS)
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    void anAnswerCutAtAnyByteIsNotComplete(Case tested) throws Exception {
        assertWithMessage(tested.toString()).that(falseSuccesses(tested, false)).isEmpty();
    }

    static Stream<Case> keptCases() {
        // A connection to a service carries one call only.
        List<Call> calls = List.of(Call.ENGINE_STREAM, Call.ENGINE_BODY, Call.ENGINE_CACHE);
        return cases().filter(tested -> calls.contains(tested.call()) && tested.cut() != Cut.SILENCE);
    }

    @ParameterizedTest
    @MethodSource("keptCases")
    void anAnswerCutAtAnyByteOfAKeptConnectionIsNotComplete(Case tested) throws Exception {
        assertWithMessage(tested.toString()).that(falseSuccesses(tested, true)).isEmpty();
    }
}
