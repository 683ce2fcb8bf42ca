package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cicadahead.fleet.CrashEvidence;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.fleet.ReportCrashes;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Done;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a request that crashes each endpoint that runs it and is repeated at all entries. */
class CrashQuarantineTest {
    private static final String POISON = "/safe/poison";
    /** A response that is received so long after a loss was sent after it. */
    private static final long RESPONSE_DELAY_MILLIS = 150;

    private final GatewayFixture first = new GatewayFixture();
    private final GatewayFixture second = new GatewayFixture();
    private final List<CrashEvidence> reported = new ArrayList<>();
    private int attempts;

    @AfterEach
    void stop() {
        first.timer.shutdownNow();
        second.timer.shutdownNow();
    }

    private FakeExchange send(GatewayFixture entry, String path) {
        FakeExchange caller = new FakeExchange();
        RequestFlow.serve(entry.context, GatewayFixture.request("a" + ++attempts, "GET", path, "k", 2_000), caller);
        return caller;
    }

    /** Sends a request whose endpoints all crash; returns the reason why it failed. */
    private RefusalReason crash(GatewayFixture entry, String path) {
        FakeExchange caller = send(entry, path);
        while (caller.refusal == null) {
            entry.endpoints.last().listener.failed(true, "reset");
        }
        return caller.refusal.reason();
    }

    /** Endpoints that crashed are back as new incarnations. */
    private static void restartEndpoints(GatewayFixture entry, int born) {
        for (String id : List.of("a", "b", "c")) {
            EndpointRecord record = new EndpointRecord(id, born, 1, "s", id + ":1", "z", 4, EndpointPhase.READY, 0, "");
            entry.selector.applyUpdate(FleetUpdate.of(record), GatewayNode.nowMillis());
        }
    }

    /** Delivers what an entry reports to another one. */
    private void exchange(GatewayFixture from, GatewayFixture to) {
        from.context.crashes().tick(report -> receive(report, to), GatewayNode.nowMillis());
    }

    private CompletableFuture<Done> receive(ReportCrashes report, GatewayFixture to) {
        reported.addAll(report.crashes());
        to.context.crashes().merge(report.crashes(), GatewayNode.nowMillis());
        return CompletableFuture.completedFuture(Done.ok());
    }

    /** After three crashes the request must reach no endpoint, neither from this entry nor from another. */
    @Test
    void reachesNoEndpointAfterThreeCrashesAtAnyEntry() {
        assertThat(crash(first, POISON)).isEqualTo(RefusalReason.ENDPOINT_LOST);
        exchange(first, second);
        restartEndpoints(second, 1);
        assertThat(crash(second, POISON)).isEqualTo(RefusalReason.ENDPOINT_LOST);
        assertThat(second.endpoints.sent).hasSize(1);
        exchange(second, first);
        for (GatewayFixture entry : List.of(first, second)) {
            int sent = entry.endpoints.sent.size();
            FakeExchange caller = send(entry, POISON);
            assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.REQUEST_QUARANTINED);
            assertThat(caller.refusal.reason().notRun()).isTrue();
            assertThat(caller.refusal.retryAfterMillis()).isGreaterThan(0L);
            assertThat(entry.endpoints.sent).hasSize(sent);
        }
    }

    /** Requests that merely ran beside the one that crashed their endpoints must be served. */
    @Test
    void servesARequestThatIsAnsweredAfterItsEndpointsCrashed() {
        crash(first, POISON);
        exchange(first, second);
        FakeExchange served = send(second, POISON);
        second.endpoints.last().answer(200, "done");
        assertThat(served.body.toString()).isEqualTo("done");
        exchange(second, first);
        restartEndpoints(first, 1);
        crash(first, POISON);
        send(first, POISON);
        assertThat(first.endpoints.sent).hasSize(5);
    }

    /** Another body or path is another request. */
    @Test
    void refusesOnlyTheRequestThatCrashes() {
        crash(first, POISON);
        restartEndpoints(first, 1);
        crash(first, POISON);
        assertThat(send(first, POISON).refusal.reason()).isEqualTo(RefusalReason.REQUEST_QUARANTINED);
        assertThat(send(first, "/safe/other").refusal).isNull();
    }

    /** An answer that does not prove that the endpoint ran the request says nothing about it. */
    @Test
    void isNotClearedByAnUnsignedAnswer() {
        crash(first, POISON);
        send(first, POISON);
        first.endpoints.last().head(404, false, false);
        first.endpoints.last().listener.end();
        restartEndpoints(first, 1);
        crash(first, POISON);
        assertThat(send(first, POISON).refusal.reason()).isEqualTo(RefusalReason.REQUEST_QUARANTINED);
    }

    /** An endpoint that resets connections now and then is alive; requests that it broke off must be served again. */
    @Test
    void doesNotTakeResetsOfALivingEndpointForACrash() {
        crash(first, POISON);
        crash(first, POISON);
        assertThat(send(first, POISON).refusal.reason()).isEqualTo(RefusalReason.REQUEST_QUARANTINED);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RESPONSE_DELAY_MILLIS));
        send(first, "/safe/other");
        first.endpoints.last().answer(200, "done");
        assertThat(send(first, POISON).refusal).isNull();
    }

    /** A report that does not arrive is sent again, and hubs that have lost their memory learn of a quarantine. */
    @Test
    void repeatsReports() {
        crash(first, POISON);
        long now = GatewayNode.nowMillis();
        first.context
                .crashes()
                .tick(report -> CompletableFuture.failedFuture(new IllegalStateException("no hub")), now);
        first.context.crashes().tick(report -> receive(report, second), now);
        assertThat(reported).hasSize(2);
        restartEndpoints(first, 1);
        crash(first, POISON);
        first.context.crashes().tick(report -> receive(report, second), now);
        assertThat(reported).hasSize(3);
        first.context.crashes().tick(report -> receive(report, second), now + 2_000);
        assertThat(reported).hasSize(6);
    }

    /** Evidence that waits for a hub must not seem younger, or a later incarnation refutes it where it is merged. */
    @Test
    void reportsTheAgeOfEvidenceThatHasWaited() {
        crash(first, POISON);
        long now = GatewayNode.nowMillis();
        first.context
                .crashes()
                .tick(report -> CompletableFuture.failedFuture(new IllegalStateException("no hub")), now);
        first.context.crashes().tick(report -> receive(report, second), now + 5_000);
        assertThat(reported).hasSize(2);
        for (CrashEvidence evidence : reported) {
            assertThat(evidence.ageMillis()).isAtLeast(5_000L);
        }
    }

    /** The query of a repetition may differ, also if the request has no body. */
    @Test
    void recognisesARepetitionWithAnotherQuery() {
        crash(first, POISON);
        restartEndpoints(first, 1);
        crash(first, POISON + "?n=1");
        assertThat(send(first, POISON + "?n=2").refusal.reason()).isEqualTo(RefusalReason.REQUEST_QUARANTINED);
        assertThat(send(first, POISON).refusal.reason()).isEqualTo(RefusalReason.REQUEST_QUARANTINED);
    }

    /** Answers to other queries of its path must not let a request through that crashes with its own query. */
    @Test
    void isNotClearedByAnswersToOtherQueriesOfItsPath() {
        crash(first, POISON + "?n=1");
        send(first, POISON + "?n=2");
        first.endpoints.last().answer(200, "done");
        restartEndpoints(first, 1);
        crash(first, POISON + "?n=1");
        assertThat(send(first, POISON + "?n=1").refusal.reason()).isEqualTo(RefusalReason.REQUEST_QUARANTINED);
        assertThat(send(first, POISON + "?n=2").refusal).isNull();
    }

    /** Endpoints that are lost at once, with different queries of one path, must not put that path into quarantine. */
    @Test
    void isNotSuspectedOfLossesAtOnceWithOtherQueriesOfItsPath() {
        for (int i = 0; i < 3; i++) {
            send(first, POISON + "?n=" + i);
        }
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        for (FakeEndpoints.Sent each : List.copyOf(first.endpoints.sent)) {
            each.listener.failed(true, "reset");
        }
        assertThat(send(first, POISON + "?n=3").refusal).isNull();
    }
}
