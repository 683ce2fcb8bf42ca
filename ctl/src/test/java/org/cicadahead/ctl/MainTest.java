package org.cicadahead.ctl;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
    private static final String POOL = "{\"name\":\"planning\",\"target\":\"ENGINE\",\"policy\":\"fair\"}";

    /** A response that the stub of the admin API returns. */
    private record StubResponse(int status, Map<String, String> headers, String body) {}

    /** A request that the stub of the admin API received. */
    private record ReceivedRequest(
            String requestLine, String requestId, String ifMatch, String ifNoneMatch, String token) {}

    private final Queue<StubResponse> stubResponses = new ArrayDeque<>();
    private final List<ReceivedRequest> receivedRequests = new ArrayList<>();
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @TempDir
    private Path folder;

    private HttpServer server;

    @BeforeEach
    void startServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
        Files.writeString(folder.resolve("token"), "secret\n");
        Files.writeString(folder.resolve("pool.toml"), "[[pools]]\nname = \"planning\"\n");
    }

    @AfterEach
    void stopServer() {
        server.stop(0);
    }

    /** Guards against an edit without a precondition, which could overwrite a concurrent edit of another operator. */
    @Test
    void applyCreatesMissingResource() {
        addResponse(404, Map.of(), "{}");
        addResponse(201, Map.of("ETag", "\"7\""), POOL);

        assertThat(run("apply", "-f", folder.resolve("pool.toml").toString())).isEqualTo(0);

        assertThat(receivedRequests.get(1).requestLine).isEqualTo("PUT /admin/v1/pools/planning");
        assertThat(receivedRequests.get(1).ifNoneMatch).isEqualTo("*");
        assertThat(receivedRequests.get(1).token).isEqualTo("Bearer secret");
        assertThat(out.toString()).contains("created");
    }

    /** Guards against an edit that increments the revision although nothing changed. */
    @Test
    void applySkipsUnchangedResource() {
        addResponse(200, Map.of("ETag", "\"3\""), POOL);

        assertThat(run("apply", "-f", folder.resolve("pool.toml").toString())).isEqualTo(0);

        assertThat(receivedRequests).hasSize(1);
        assertThat(out.toString()).contains("unchanged");
    }

    /** Guards against a conflict that scripts cannot distinguish from a success or another rejection. */
    @Test
    void conflictHasItsOwnExitCode() {
        addResponse(200, Map.of("ETag", "\"3\""), POOL.replace("fair", "latency"));
        addResponse(409, Map.of("ETag", "\"4\""), "{\"detail\":\"based on another revision\"}");

        assertThat(run("apply", "-f", folder.resolve("pool.toml").toString())).isEqualTo(3);

        assertThat(receivedRequests.get(1).ifMatch).isEqualTo("\"3\"");
        assertThat(err.toString()).contains("current revision 4");
    }

    /** Guards against an edit that is applied twice because a retry after a 503 or a redirect has a new request id. */
    @Test
    void retriesKeepRequestId() {
        addResponse(503, Map.of(), "");
        addResponse(307, Map.of("Location", url() + "/admin/v1/keys"), "");
        addResponse(201, Map.of(), "{\"key\":\"ck_x\"}");

        assertThat(run("keys", "create", "acme", "-o", "json")).isEqualTo(0);

        assertThat(receivedRequests.stream()
                        .map(ReceivedRequest::requestId)
                        .distinct()
                        .toList())
                .hasSize(1);
        assertThat(out.toString()).contains("\"key\" : \"ck_x\"");
    }

    /** Guards against a command that fails at the first replica that is down, or retries without a time limit. */
    @Test
    void triesAllAddressesAndReportsUnreachable() {
        addResponse(200, Map.of(), "{\"leader\":\"a\"}");

        assertThat(runAt("127.0.0.1:1," + url(), "status")).isEqualTo(0);
        assertThat(runAt("127.0.0.1:1", "status", "--timeout-millis", "200")).isEqualTo(4);
    }

    /** Guards against a difference that is reported for a reordered set, or a changed value that is not reported. */
    @Test
    void diffComparesValues() throws IOException {
        Path routes = folder.resolve("routes.json");
        Files.writeString(
                routes,
                "{\"routes\":[{\"name\":\"r\",\"pool\":\"planning\",\"organisations\":[\"b\",\"a\"],"
                        + "\"repeatable\":true,\"deadline_millis\":5000}]}");
        String current = "{\"name\":\"r\",\"pool\":\"planning\",\"organisations\":[\"a\",\"b\"],\"repeatable\":true,"
                + "\"deadline_millis\":%d}";
        addResponse(200, Map.of("ETag", "\"3\""), current.formatted(5_000));
        addResponse(200, Map.of("ETag", "\"3\""), current.formatted(6_000));

        assertThat(run("diff", "-f", routes.toString())).isEqualTo(0);
        assertThat(run("diff", "-f", routes.toString())).isEqualTo(1);

        assertThat(out.toString()).contains("deadline_millis");
        assertThat(out.toString()).doesNotContain("organisations");
    }

    /** Guards against sending an invalid document or command line to control. */
    @Test
    void rejectsInvalidInput() throws IOException {
        Path invalid = folder.resolve("wrong.json");
        Files.writeString(invalid, "{\"pools\":[{\"name\":\"planning\",\"colour\":1}]}");

        assertThat(run("apply", "-f", invalid.toString())).isEqualTo(2);
        assertThat(run("get", "ovens")).isEqualTo(2);
        assertThat(run("explain", "program-without-organisation")).isEqualTo(2);
        assertThat(receivedRequests).isEmpty();
    }

    /** Guards against an export that cannot be applied, or whose lists come from different revisions. */
    @Test
    void exportCanBeAppliedAndHasOneRevision() throws IOException {
        String items = "{\"revision\":%d,\"items\":[%s]}";
        String pool = "{\"kind\":\"pool\",\"name\":\"planning\",\"revision\":3,\"body\":" + POOL + "}";
        addResponse(200, Map.of(), items.formatted(3, ""));
        addResponse(200, Map.of(), items.formatted(4, ""));
        addResponse(200, Map.of(), items.formatted(4, ""));
        addResponse(200, Map.of(), items.formatted(4, pool));
        addResponse(200, Map.of(), items.formatted(4, ""));

        assertThat(run("export")).isEqualTo(0);

        Path file = Files.writeString(folder.resolve("export.json"), out.toString());
        addResponse(200, Map.of("ETag", "\"3\""), POOL);
        assertThat(run("diff", "-f", file.toString())).isEqualTo(0);
        assertThat(receivedRequests.get(5).requestLine).isEqualTo("GET /admin/v1/pools/planning");
    }

    /** Guards against a rejected command that exits with the code of a success. */
    @Test
    void refusalHasExitCodeOne() {
        addResponse(404, Map.of(), "{\"title\":\"not found\"}");

        assertThat(run("delete", "pools", "planning")).isEqualTo(1);
        assertThat(err.toString()).contains("pool planning: not found");
    }

    private int run(String... args) {
        return runAt(url(), args);
    }

    private int runAt(String admin, String... args) {
        String[] options = {
            "--admin", admin, "--token-file", folder.resolve("token").toString()
        };
        String[] all =
                Stream.concat(Arrays.stream(args), Arrays.stream(options)).toArray(String[]::new);
        return Main.run(new PrintWriter(out, true), new PrintWriter(err, true), all);
    }

    private String url() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    private void addResponse(int status, Map<String, String> headers, String body) {
        stubResponses.add(new StubResponse(status, headers, body));
    }

    private void handle(HttpExchange exchange) throws IOException {
        receivedRequests.add(new ReceivedRequest(
                exchange.getRequestMethod() + " " + exchange.getRequestURI(),
                exchange.getRequestHeaders().getFirst("Request-Id"),
                exchange.getRequestHeaders().getFirst("If-Match"),
                exchange.getRequestHeaders().getFirst("If-None-Match"),
                exchange.getRequestHeaders().getFirst("Authorization")));
        StubResponse response = stubResponses.remove();
        response.headers.forEach(exchange.getResponseHeaders()::set);
        byte[] body = response.body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(response.status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
