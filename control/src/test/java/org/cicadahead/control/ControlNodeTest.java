package org.cicadahead.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.CheckPrograms;
import org.cicadahead.protocol.ClaimOutcome;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.ProgramsGone;
import org.cicadahead.protocol.ReadProgram;
import org.cicadahead.protocol.Refused;
import org.cicadahead.protocol.StartClaim;
import org.cicadahead.protocol.StepOutcome;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.ControlClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests that are routed to the wrong component, or not at all, when a control node is assembled. Each
 * request is sent over the network, as daemons and operators send it.
 */
class ControlNodeTest {
    private static final String ORGANISATION = "{\"rate_per_second\":100,\"burst\":10}";

    @TempDir
    Path folder;

    private final HttpClient http = HttpClient.newHttpClient();
    private ControlNode node;
    private ControlClient client;

    @BeforeEach
    void start() throws Exception {
        node = TestReplica.create(folder).start();
        client = ControlClient.to(
                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port())),
                MessageCatalog.standard());
        call(Samples.entrySync(0, 0, 0), SyncReply.class);
    }

    @AfterEach
    void stop() {
        client.close();
        node.shutdown(1_000);
    }

    @Test
    void syncCarriesConfigurationAndEndpoints() throws Exception {
        assertThat(send("PUT", "organisations/acme", "If-None-Match", "*", ORGANISATION)
                        .statusCode())
                .isEqualTo(201);
        SyncReply added = call(Samples.endpointSync(1), SyncReply.class);
        assertThat(added.endpoints()).isNull();
        SyncReply reply = call(Samples.entrySync(0, 0, 0), SyncReply.class);
        assertThat(reply.leaseMillis()).isEqualTo(2_000);
        assertThat(reply.configuration().revision()).isEqualTo(1);
        assertThat(reply.configuration().changes().get(0).name()).isEqualTo("acme");
        assertThat(reply.endpoints().announced()).containsExactly(Samples.endpoint("e1", 1, EndpointState.READY));
        assertThat(call(Samples.entrySync(1, 0, 0), SyncReply.class).configuration())
                .isNull();
    }

    @Test
    void grantsFollowTheOrganisation() throws Exception {
        send("PUT", "organisations/acme", "If-None-Match", "*", ORGANISATION);
        GrantRequest request = new GrantRequest(
                Samples.ENTRY,
                1,
                List.of(
                        new GrantLine(Samples.ACME, 1, List.of()),
                        new GrantLine(OrganisationId.of("unknown"), 1, List.of())));
        GrantReply reply = call(request, GrantReply.class);
        assertThat(reply.validMillis()).isEqualTo(1_000);
        assertThat(reply.grants()).hasSize(2);
        assertThat(reply.grants().get(1).requests()).isEqualTo(0);
    }

    @Test
    void stepsAreReplayedAndReadWithTheirHistory() throws Exception {
        StepReply begun = call(Samples.begin(Samples.PROGRAM, 1, "n1"), StepReply.class);
        assertThat(begun.outcome()).isEqualTo(StepOutcome.GRANTED);
        FinishStep finish = Samples.finish(Samples.PROGRAM, 1, begun.fence(), "a");
        assertThat(call(finish, Done.class).accepted()).isTrue();
        StepReply replayed = call(Samples.begin(Samples.PROGRAM, 1, "n2"), StepReply.class);
        assertThat(replayed.outcome()).isEqualTo(StepOutcome.REPLAYED);
        assertThat(new String(replayed.history().get(0).answer(), StandardCharsets.UTF_8))
                .isEqualTo("a");
        assertThat(call(Samples.begin(Samples.PROGRAM, 2, "n3"), StepReply.class)
                        .history())
                .hasSize(1);
        ProgramView view = call(new ReadProgram(Samples.PROGRAM, 1), ProgramView.class);
        assertThat(view.spentTokens()).isEqualTo(1);
        assertThat(view.history()).hasSize(1);
        ProgramKey other = Samples.program("other");
        assertThat(call(new ReadProgram(other, 1), Refused.class).reason()).isEqualTo(RefusalReason.PROGRAM_UNKNOWN);
        assertThat(call(new CheckPrograms(List.of(Samples.PROGRAM, other)), ProgramsGone.class)
                        .gone())
                .containsExactly(other);
        JsonNode shown = Codec.json()
                .readTree(send("GET", "programs/acme/p1", null, null, "").body());
        assertThat(shown.path("spent_tokens").asLong()).isEqualTo(1);
    }

    @Test
    void claimsStartOnce() throws Exception {
        ClaimReply begun = call(Samples.beginClaim("n"), ClaimReply.class);
        assertThat(begun.outcome()).isEqualTo(ClaimOutcome.GRANTED);
        ClaimRef claim = new ClaimRef(Samples.CLAIM, begun.fence());
        EndpointId endpoint = Samples.E1;
        assertThat(call(new StartClaim(claim, endpoint, 1, RunId.of("r1")), Done.class)
                        .accepted())
                .isTrue();
        assertThat(call(new StartClaim(claim, endpoint, 1, RunId.of("r2")), Done.class)
                        .accepted())
                .isFalse();
    }

    @Test
    void editsNeedAPreconditionAndReportConflicts() throws Exception {
        assertThat(send("PUT", "organisations/acme", null, null, ORGANISATION).statusCode())
                .isEqualTo(428);
        assertThat(send("PUT", "organisations/acme", "If-None-Match", "*", "{\"burst\":0}")
                        .statusCode())
                .isEqualTo(422);
        HttpResponse<String> created = send("PUT", "organisations/acme", "If-None-Match", "*", ORGANISATION);
        assertThat(created.headers().firstValue("ETag")).hasValue("\"1\"");
        HttpResponse<String> conflict = send("PUT", "organisations/acme", "If-None-Match", "*", ORGANISATION);
        assertThat(conflict.statusCode()).isEqualTo(409);
        assertThat(conflict.headers().firstValue("Content-Type")).hasValue("application/problem+json");
        assertThat(Codec.json().readTree(conflict.body()).path("revision").asLong())
                .isEqualTo(1);
        assertThat(send("DELETE", "organisations/acme", "If-Match", "\"1\"", "").statusCode())
                .isEqualTo(200);
        assertThat(send("GET", "organisations/acme", null, null, "").statusCode())
                .isEqualTo(404);
    }

    @Test
    void keysAreShownOnceAndRevokedByPrefix() throws Exception {
        send("PUT", "organisations/acme", "If-None-Match", "*", ORGANISATION);
        String body = "{\"organisation\":\"acme\"}";
        JsonNode created = Codec.json()
                .readTree(send("POST", "keys", "Request-Id", "r1", body).body());
        assertThat(created.path("key").asText()).startsWith("ck_");
        JsonNode resent = Codec.json()
                .readTree(send("POST", "keys", "Request-Id", "r1", body).body());
        assertThat(resent.path("digest")).isEqualTo(created.path("digest"));
        assertThat(resent.has("key")).isFalse();
        String list = send("GET", "keys", null, null, "").body();
        assertThat(list).contains(created.path("digest").asText());
        assertThat(list).doesNotContain(created.path("key").asText());
        String prefix = created.path("digest").asText().substring(0, 12);
        assertThat(send("DELETE", "keys/" + prefix, "Request-Id", "r2", "").statusCode())
                .isEqualTo(200);
        assertThat(send("DELETE", "keys/" + prefix, "Request-Id", "r2", "").statusCode())
                .isEqualTo(200);
    }

    @Test
    void statusNeedsTheTokenAndShowsTheFleet() throws Exception {
        call(Samples.endpointSync(1), SyncReply.class);
        URI uri = URI.create("http://127.0.0.1:" + node.adminPort() + "/admin/v1/status");
        HttpRequest bad =
                HttpRequest.newBuilder(uri).header("Authorization", "Bearer no").build();
        assertThat(http.send(bad, HttpResponse.BodyHandlers.ofString()).statusCode())
                .isEqualTo(401);
        assertThat(send("POST", "endpoints/e1/drain", null, null, "").statusCode())
                .isEqualTo(202);
        JsonNode status =
                Codec.json().readTree(send("GET", "status", null, null, "").body());
        assertThat(status.path("endpoints").path(0).path("draining").asBoolean())
                .isTrue();
        assertThat(call(Samples.endpointSync(1), SyncReply.class).draining()).isTrue();
    }

    private <R extends Message> R call(Message request, Class<R> type) throws Exception {
        return client.call(request, type, 5_000).get(10, TimeUnit.SECONDS);
    }

    private HttpResponse<String> send(String method, String path, String header, String value, String body)
            throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + node.adminPort() + "/admin/v1/" + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .header("Authorization", "Bearer secret");
        if (header != null) {
            request.header(header, value);
        }
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
