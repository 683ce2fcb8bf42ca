package org.cicadahead.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.cicadahead.wire.TestPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the log records of a daemon that runs control and entry with all log levels enabled. */
class LogContentTest {
    private static final String TOKEN = "token-of-operators";
    private static final String PREFIX = "(raft|control|entry|endpoint|wire|daemon): .*";
    private static final long WAIT_MILLIS = 20_000;
    private static final int OK = 200;

    private final Queue<LogRecord> records = new ConcurrentLinkedQueue<>();
    private final HttpClient http = HttpClient.newHttpClient();
    private int health;
    private int peers;
    private int admin;
    private int callers;
    private final Logger logger = Logger.getLogger("cicadahead");
    private final Handler recorder = new Handler() {
        @Override
        public void publish(LogRecord item) {
            records.add(item);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @TempDir
    private Path folder;

    @BeforeEach
    void recordLogs() throws IOException {
        health = TestPorts.free();
        peers = TestPorts.free();
        admin = TestPorts.free();
        callers = TestPorts.free();
        recorder.setLevel(Level.ALL);
        logger.setLevel(Level.ALL);
        logger.addHandler(recorder);
    }

    @AfterEach
    void stopRecording() {
        logger.removeHandler(recorder);
        logger.setLevel(null);
    }

    /** Guards against log lines that leak an API key or the operator token, and against lines without a prefix. */
    @Test
    void logsHoldPrefixesAndNoKey() throws Exception {
        Daemon daemon = Daemon.start(settings(), new NodeStarter());
        String key;
        try {
            await(() -> get(health, "/readyz").statusCode() == OK);
            key = createKey();
            String authorization = "Bearer " + key;
            await(() -> chat("/v1/chat/completions", authorization).body().contains("no_endpoint"));
            assertThat(chat("/v1/chat/completions?key=" + key, authorization).body())
                    .contains("key_in_url");
            assertThat(chat("/v1/services/" + key + "/x", authorization).statusCode())
                    .isAtLeast(400);
            assertThat(chat("/v1/chat/completions", "Basic " + key).statusCode())
                    .isEqualTo(401);
        } finally {
            assertThat(daemon.shutdown()).isTrue();
        }

        assertThat(records).isNotEmpty();
        for (LogRecord record : records) {
            String text = LogFormat.TEXT.formatter().format(record);
            String line = LogFormat.JSON.formatter().format(record);
            JsonNode json = new ObjectMapper().readTree(line);
            assertWithMessage("text").that(text).doesNotContain(key);
            assertWithMessage("JSON").that(line).doesNotContain(key);
            assertWithMessage("text").that(text).doesNotContain(TOKEN);
            assertThat(json.path("message").asText()).matches("(?s)" + PREFIX);
            assertThat(text).containsMatch("(?m)^\\S+ \\S+ +" + PREFIX);
        }
    }

    private String createKey() throws Exception {
        String organisation = "{\"name\":\"acme\",\"rate_per_second\":100,\"burst\":100}";
        String pool = "{\"name\":\"planning\"}";
        String route = "{\"name\":\"assistant\",\"pool\":\"planning\",\"repeatable\":true}";
        put("organisations/acme", organisation);
        put("pools/planning", pool);
        put("routes/assistant", route);
        HttpResponse<String> response = send(operator("keys", "POST", "{\"organisation\":\"acme\"}"));
        return new ObjectMapper().readTree(response.body()).path("key").asText();
    }

    private void put(String path, String body) throws Exception {
        HttpResponse<String> response = send(operator(path, "PUT", body));
        assertWithMessage(response.body()).that(response.statusCode()).isLessThan(300);
    }

    private HttpRequest.Builder operator(String path, String method, String body) {
        return request(admin, "/admin/v1/" + path, method, body)
                .header("Authorization", "Bearer " + TOKEN)
                .header("If-None-Match", "*")
                .header("Request-Id", path.replace('/', '.'));
    }

    private HttpResponse<String> chat(String path, String authorization) throws IOException, InterruptedException {
        String body = "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";
        return send(request(callers, path, "POST", body).header("Authorization", authorization));
    }

    private HttpResponse<String> get(int port, String path) throws IOException, InterruptedException {
        return send(request(port, path, "GET", ""));
    }

    private static HttpRequest.Builder request(int port, String path, String method, String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .header("Content-Type", "application/json")
                .method(method, HttpRequest.BodyPublishers.ofString(body));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** A condition whose check may send requests to the daemon. */
    private interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    private static void await(Condition condition) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
        while (!condition.holds()) {
            assertWithMessage("time before the deadline")
                    .that(System.nanoTime())
                    .isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    private Settings settings() throws Exception {
        Path token = Files.writeString(folder.resolve("token"), TOKEN);
        List<String> lines = List.of(
                "[daemon]",
                "id = 'all-1'",
                "roles = ['control', 'entry']",
                "zone = 'a'",
                "control = ['127.0.0.1:%d']".formatted(peers),
                "[health]",
                "listen = '127.0.0.1:%d'".formatted(health),
                "[control]",
                "listen = '127.0.0.1:%d'".formatted(peers),
                "data_folder = '%s'".formatted(folder.resolve("data")),
                "admin_listen = '127.0.0.1:%d'".formatted(admin),
                "admin_token_file = '%s'".formatted(token),
                "initial_members = ['127.0.0.1:%d']".formatted(peers),
                "bootstrap = true",
                "[entry]",
                "listen = '127.0.0.1:%d'".formatted(callers));
        return SettingsReader.parse("s.toml", String.join("\n", lines));
    }
}
