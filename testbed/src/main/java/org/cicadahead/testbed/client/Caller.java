package org.cicadahead.testbed.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.cicadahead.wire.Codec;

/** Calls one entry with one key. Safe for use by several threads. */
public final class Caller {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);
    private static final int MIN_ERROR = 400;
    private static final Consumer<String> IGNORE = token -> {};

    private final HttpClient http;
    private final URI entry;
    private final String key;
    private final String route;

    /**
     * Creates a caller.
     *
     * @param entry the base URL of the entry
     * @param key the key, or null for none
     * @param route the route of chat completions
     */
    public Caller(URI entry, String key, String route) {
        this(
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build(),
                entry,
                key,
                route);
    }

    private Caller(HttpClient http, URI entry, String key, String route) {
        this.http = http;
        this.entry = entry;
        this.key = key;
        this.route = route;
    }

    /**
     * Returns a caller of another entry with the same key.
     *
     * @param other the base URL of the entry
     * @return the caller
     */
    public Caller at(URI other) {
        return new Caller(http, other, key, route);
    }

    /**
     * Sends a step and reads its streamed answer.
     *
     * @param turn the step
     * @return the answer; a failure of the connection gives status 0
     */
    public Answer chat(Turn turn) {
        return chat(turn, IGNORE);
    }

    /**
     * Sends a step and reads its streamed answer.
     *
     * @param turn the step
     * @param tokens gets each token as it arrives
     * @return the answer; a failure of the connection gives status 0
     */
    public Answer chat(Turn turn, Consumer<String> tokens) {
        ObjectNode body = Codec.json().createObjectNode();
        body.put("model", route).put("stream", true).put("max_tokens", turn.maxTokens());
        body.putArray("messages").addObject().put("role", "user").put("content", turn.content());
        HttpRequest.Builder request = request("/v1/chat/completions")
                .header("Cicadahead-Program", turn.program())
                .header("Cicadahead-Step", Integer.toString(turn.step()));
        if (turn.parent() != null) {
            request.header("Cicadahead-Parent", turn.parent());
        }
        if (turn.end()) {
            request.header("Cicadahead-End", "true");
        }
        return send(
                request.POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build(),
                true,
                tokens);
    }

    /**
     * Calls a plain service.
     *
     * @param service the route of the service
     * @param path the path below it, with its leading slash
     * @param idempotencyKey the idempotency key, or null for none
     * @param body the body
     * @return the answer; a failure of the connection gives status 0
     */
    public Answer service(String service, String path, String idempotencyKey, String body) {
        HttpRequest.Builder request = request("/v1/services/" + service + path);
        if (idempotencyKey != null) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return send(request.POST(HttpRequest.BodyPublishers.ofString(body)).build(), false, IGNORE);
    }

    private HttpRequest.Builder request(String path) {
        HttpRequest.Builder request = HttpRequest.newBuilder(entry.resolve(path))
                .timeout(DEFAULT_TIMEOUT)
                .header("Content-Type", "application/json");
        return key == null ? request : request.header("Authorization", "Bearer " + key);
    }

    private Answer send(HttpRequest request, boolean streamed, Consumer<String> tokens) {
        Reading reading = new Reading(tokens);
        try {
            HttpResponse<InputStream> response = http.send(request, HttpResponse.BodyHandlers.ofInputStream());
            reading.status = response.statusCode();
            reading.endpoint =
                    response.headers().firstValue("Cicadahead-Endpoint").orElse("");
            reading.replayed =
                    response.headers().firstValue("Cicadahead-Replayed").isPresent();
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
                if (streamed && reading.status < MIN_ERROR) {
                    reading.events(lines);
                } else {
                    reading.whole(lines);
                }
            }
        } catch (IOException e) {
            reading.reason = reading.reason.isEmpty() ? "connection: " + e.getMessage() : reading.reason;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            reading.reason = "interrupted";
        }
        return reading.answer();
    }

    private static JsonNode parse(String text) {
        try {
            return Codec.json().readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /** What has arrived of one answer. */
    private static final class Reading {
        private final long startNanos = System.nanoTime();
        private final StringBuilder text = new StringBuilder();
        private final Consumer<String> tokens;
        private int status;
        private boolean complete;
        private String reason = "";
        private boolean notRun;
        private String endpoint = "";
        private boolean replayed;
        private long firstTokenNanos = -1;

        Reading(Consumer<String> tokens) {
            this.tokens = tokens;
        }

        private void events(BufferedReader lines) throws IOException {
            String line = lines.readLine();
            while (line != null) {
                if (line.equals("data: [DONE]")) {
                    complete = true;
                } else if (line.startsWith("data:")) {
                    event(parse(line.substring("data:".length()).strip()));
                }
                line = lines.readLine();
            }
        }

        private void event(JsonNode event) {
            JsonNode problem = event.has("error") ? event.get("error") : event;
            if (problem.has("reason")) {
                refuse(problem);
            }
            String token =
                    event.path("choices").path(0).path("delta").path("content").asText("");
            if (!token.isEmpty()) {
                if (firstTokenNanos < 0) {
                    firstTokenNanos = System.nanoTime() - startNanos;
                }
                text.append(token);
                tokens.accept(token);
            }
        }

        private void whole(BufferedReader lines) throws IOException {
            char[] buffer = new char[4_096];
            int count = lines.read(buffer);
            while (count >= 0) {
                text.append(buffer, 0, count);
                count = lines.read(buffer);
            }
            complete = true;
            if (status >= MIN_ERROR) {
                refuse(parse(text.toString()));
            }
        }

        private void refuse(JsonNode problem) {
            reason = problem.path("reason").asText("unknown");
            notRun = problem.path("not_run").asBoolean();
        }

        private Answer answer() {
            return new Answer(
                    status,
                    text.toString(),
                    complete,
                    reason,
                    notRun,
                    endpoint,
                    replayed,
                    firstTokenNanos,
                    System.nanoTime() - startNanos);
        }
    }
}
