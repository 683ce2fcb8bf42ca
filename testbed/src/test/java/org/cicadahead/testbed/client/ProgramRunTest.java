package org.cicadahead.testbed.client;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.cicadahead.testbed.emulator.EngineAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ProgramRunTest {
    private static final Turn TURN = Turn.first("p", "Hello.", 2);
    private static final String TOKENS =
            "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n".formatted(EngineAnswers.content("Hello.", 2));
    private static final String DONE = "data: [DONE]\n\n";

    /** An answer of the entry that a test prepares. */
    private record Prepared(int status, String body) {}

    private final Queue<Prepared> answers = new ArrayDeque<>();
    private final List<String> steps = new ArrayList<>();
    private HttpServer server;
    private ProgramRun run;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
        URI entry = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
        run = new ProgramRun(List.of(new Caller(entry, "ck_test", "assistant")), 0, 5_000);
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    /** Guards against a cut stream that counts as an answer: it is resent as the same step. */
    @Test
    void resendsStepWithoutEnd() {
        answers.add(new Prepared(200, TOKENS));
        answers.add(new Prepared(503, "{\"reason\":\"no_endpoint\",\"not_run\":true}"));
        answers.add(new Prepared(200, TOKENS + "event: error\ndata: {\"reason\":\"endpoint_lost\"}\n\n"));
        answers.add(new Prepared(200, TOKENS + DONE));

        assertThat(run.runStep(TURN).isDone()).isTrue();

        assertThat(run.fault()).isEmpty();
        assertThat(steps).containsExactly("1", "1", "1", "1");
        assertThat(run.refusals()).containsExactly("incomplete", 1, "no_endpoint", 1, "endpoint_lost", 1);
    }

    /** Guards against an answer of another request that counts as this one's. */
    @Test
    void findsAnswerOfAnotherRequest() {
        answers.add(new Prepared(200, TOKENS.replace("content\":\"", "content\":\"x") + DONE));

        run.runStep(TURN);

        assertThat(run.fault()).contains("the answer of another request");
    }

    /** Guards against a resend that cannot help and hides the refusal until the time is up. */
    @Test
    void givesUpAtRefusalThatStays() {
        answers.add(new Prepared(402, "{\"reason\":\"budget_exhausted\",\"not_run\":true}"));

        assertThat(run.runStep(TURN).notRun()).isTrue();

        assertThat(run.fault()).contains("budget_exhausted");
        assertThat(steps).hasSize(1);
    }

    private void handle(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        steps.add(exchange.getRequestHeaders().getFirst("Cicadahead-Step"));
        Prepared answer = answers.remove();
        byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(answer.status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
