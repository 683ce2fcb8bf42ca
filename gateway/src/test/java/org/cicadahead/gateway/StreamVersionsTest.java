package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Done;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against streams that change the software version, and against versions that are used before their record. */
class StreamVersionsTest {
    private final GatewayFixture gateway = new GatewayFixture();
    private final FakeEndpoints endpoints = gateway.endpoints;
    private final FakeExchange caller = new FakeExchange();
    private final RecordingTurn turn = new RecordingTurn();

    /** A turn that records what it is told; records of versions complete when the test says so. */
    private static final class RecordingTurn implements TurnCompletion {
        private final List<String> versions = new ArrayList<>();
        private final CompletableFuture<Done> recorded = new CompletableFuture<>();
        private String output;

        @Override
        public CompletableFuture<?> recordVersion(String version) {
            versions.add(version);
            return recorded;
        }

        @Override
        public void closeIncomplete(long tokens) {}

        @Override
        public CompletableFuture<Done> complete(long tokens, byte[] bytes) {
            output = new String(bytes, StandardCharsets.UTF_8);
            return CompletableFuture.completedFuture(Done.ok());
        }
    }

    @BeforeEach
    void register() {
        register("a", "v1");
        register("b", "v2");
        register("c", "v2");
    }

    @AfterEach
    void stop() {
        gateway.timer.shutdownNow();
    }

    private void register(String id, String version) {
        EndpointRecord record = new EndpointRecord(id, 0, 2, "s", id + ":1", "z", 4, EndpointPhase.READY, 0, version);
        gateway.selector.applyUpdate(FleetUpdate.of(record), GatewayNode.nowMillis());
    }

    private void start(StreamVersions versions) throws RefusedException {
        CallerRequest request = GatewayFixture.request("attempt", "POST", "/resume/x", "k", 2_000);
        AdmittedRequest admitted = Admission.admit(request, gateway.context.site());
        EndpointAttempts.start(
                new RequestScope(gateway.context, request, caller), admitted, new byte[0], turn, versions);
    }

    private String lastInstance() {
        return endpoints.last().request.instance();
    }

    /** An attempt that breaks off before its first event may go on anywhere, but only once the stores know where. */
    @Test
    void recordsAnotherVersionBeforeTheRequestIsSentThere() throws Exception {
        start(StreamVersions.ofNewStream(Set.of("v1")));
        assertThat(lastInstance()).isEqualTo("a");
        endpoints.last().listener.failed(true, "reset");
        assertThat(turn.versions).containsExactly("v2");
        assertThat(endpoints.sent).hasSize(1);
        turn.recorded.complete(Done.ok());
        assertThat(endpoints.sent).hasSize(2);
        assertThat(lastInstance()).isNotEqualTo("a");
    }

    /** An attempt whose record failed must not be sent: its caller would resume it at the version recorded before. */
    @Test
    void isNotSentToAVersionThatTheStoresDidNotRecord() throws Exception {
        start(StreamVersions.ofNewStream(Set.of("v1")));
        endpoints.last().listener.failed(false, "refused");
        turn.recorded.completeExceptionally(new IllegalStateException("no store"));
        assertThat(endpoints.sent).hasSize(1);
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.STORES_UNAVAILABLE);
    }

    /** Endpoints of other versions are no alternative to a slow one, so that the slow one must not be given up. */
    @Test
    void isNotGivenUpForEndpointsOfOtherVersions() throws Exception {
        start(StreamVersions.only("v1"));
        assertThat(caller.refused.await(1_000, TimeUnit.MILLISECONDS)).isFalse();
        endpoints.last().head(200, true, false);
        endpoints.last().event(1);
        endpoints.last().listener.end();
        assertThat(caller.ended).isTrue();
        assertThat(endpoints.sent).hasSize(1);
    }

    /** After its first event a stream must not go on at another version, even if that was recorded. */
    @Test
    void isBoundToTheVersionOfItsFirstEvent() throws Exception {
        start(StreamVersions.ofNewStream(Set.of("v1", "v2")));
        String first = lastInstance();
        endpoints.last().head(200, true, false);
        endpoints.last().event(1);
        endpoints.last().listener.failed(true, "reset");
        if (first.equals("a")) {
            assertThat(endpoints.sent).hasSize(1);
            assertThat(caller.reset).isTrue();
        } else {
            assertThat(lastInstance()).isNotEqualTo("a");
        }
        assertThat(turn.versions).isEmpty();
    }

    /** A caller must learn whether to send its stream from the start or to come back later. */
    @Test
    void tellsAMissingVersionFromMissingEndpoints() throws Exception {
        start(StreamVersions.only("v3"));
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.STREAM_VERSION_UNAVAILABLE);
        assertThat(caller.refusal.reason().notRun()).isTrue();
        for (String id : List.of("a", "b", "c")) {
            EndpointRecord left = new EndpointRecord(id, 0, 3, "s", id + ":1", "z", 4, EndpointPhase.GONE, 0, "v1");
            gateway.selector.applyUpdate(FleetUpdate.of(left), GatewayNode.nowMillis());
        }
        start(StreamVersions.only("v3"));
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.NO_ENDPOINT);
        assertThat(caller.refusal.retryAfterMillis()).isGreaterThan(0);
    }

    /** An ejected endpoint of the recorded version must not be preferred to a healthy one of another version. */
    @Test
    void goesToAHealthyEndpointOfAnotherVersionRatherThanToAnEjectedOne() throws Exception {
        register("a2", "v1");
        start(StreamVersions.ofNewStream(Set.of("v1")));
        endpoints.last().listener.failed(true, "reset");
        endpoints.last().listener.failed(true, "reset");
        start(StreamVersions.ofNewStream(Set.of("v1")));
        assertThat(turn.versions).containsExactly("v2");
    }

    /** The output of a kept turn must hold what all attempts of its response have sent. */
    @Test
    void theOutputHoldsTheEventsOfAllAttempts() throws Exception {
        start(StreamVersions.only("v2"));
        endpoints.last().head(200, true, false);
        endpoints.last().event(1);
        endpoints.last().listener.failed(true, "reset");
        endpoints.last().head(200, true, false);
        endpoints.last().event(2);
        endpoints.last().listener.end();
        assertThat(turn.output).isEqualTo("d1\nd2\n");
    }
}
