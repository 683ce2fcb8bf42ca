package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Done;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the processing of requests with endpoints that fail in different ways. */
class RequestFlowTest {
    private static final String EVENT_1 = "id: 1\ndata: d1\n\n";
    private static final String EVENT_2 = "id: 2\ndata: d2\n\n";

    private final GatewayFixture gateway = new GatewayFixture();
    private final FakeEndpoints endpoints = gateway.endpoints;
    private final FakeExchange caller = new FakeExchange();
    private final GatewayContext context = gateway.context;

    @AfterEach
    void stop() {
        gateway.timer.shutdownNow();
    }

    private void send(String path, String key, long timeLeftMillis) {
        RequestFlow.serve(context, GatewayFixture.request("attempt", "POST", path, key, timeLeftMillis), caller);
    }

    private void send(String path) {
        send(path, "k", 2_000);
    }

    /** A request whose key or route is not in the configuration must not be sent to an endpoint. */
    @Test
    void refusesAnUnknownKeyAndAnUnknownRoute() {
        send("/safe/x", "other", 2_000);
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.KEY_INVALID);
        FakeExchange second = new FakeExchange();
        RequestFlow.serve(
                context,
                new CallerRequest(
                        "b",
                        "GET",
                        "/none/",
                        "/none/",
                        "h",
                        List.of(),
                        new byte[0],
                        "k",
                        100,
                        null,
                        "",
                        List.of(),
                        List.of(),
                        0,
                        -1,
                        "",
                        GatewayNode.nowMillis()),
                second);
        assertThat(second.refusal.reason()).isEqualTo(RefusalReason.ROUTE_UNKNOWN);
        assertThat(endpoints.sent).isEmpty();
    }

    /**
     * An entry that has not received its configuration yet knows no keys or routes. It must refuse with 503, which
     * allows a retry, and not with 401 or 404.
     */
    @Test
    void anEntryWithoutAConfigurationRefusesAsNotRun() {
        context.site(null);
        send("/safe/x");
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.SITE_UNKNOWN);
        assertThat(caller.refusal.reason().status()).isEqualTo(503);
        assertThat(caller.refusal.retryAfterMillis()).isGreaterThan(0L);
    }

    /**
     * An endpoint ran the turn, but sent no events, and the stores did not respond when the turn was closed. The
     * refusal must not state that the request did not run.
     */
    @Test
    void aTurnThatRanAndWasNotKeptIsNotRefusedAsNotRun() {
        CallerRequest request = GatewayFixture.request("attempt", "POST", "/stream/x", "k", 1_000);
        RequestScope scope = new RequestScope(context, request, caller);
        TurnCompletion lost = new TurnCompletion() {
            @Override
            public CompletableFuture<?> recordVersion(String version) {
                return CompletableFuture.completedFuture(Done.ok());
            }

            @Override
            public void closeIncomplete(long tokens) {}

            @Override
            public CompletableFuture<Done> complete(long tokens, byte[] output) {
                return CompletableFuture.failedFuture(new IllegalStateException("no store"));
            }
        };
        AdmittedRequest admitted = assertDoesNotThrow(() -> Admission.admit(request, context.site()));
        EndpointAttempts.start(scope, admitted, new byte[0], lost, StreamVersions.any());
        endpoints.last().head(200, true, false);
        endpoints.last().listener.end();
        assertThat(caller.refusal.reason().notRun()).isFalse();
    }

    /**
     * A request that an endpoint rejects has not run, so it must be retried at another endpoint, even on a route that
     * is not idempotent.
     */
    @Test
    void aRejectedRequestIsRetriedAtAnotherEndpoint() {
        send("/once/x");
        endpoints.last().reject();
        assertThat(endpoints.sent).hasSize(2);
        assertThat(endpoints.sent.get(1).request.instance())
                .isNotEqualTo(endpoints.sent.get(0).request.instance());
        endpoints.last().answer(200, "done");
        assertThat(caller.body.toString()).isEqualTo("done");
        assertThat(gateway.metrics.counter("retries.rejected").getCount()).isEqualTo(1);
    }

    /**
     * A request whose connection was lost may have run. On a route that is not idempotent it must not be sent again,
     * and its refusal must not state that it did not run.
     */
    @Test
    void aLostRequestThatMayNotBeRepeatedIsNeitherRepeatedNorRefused() {
        send("/once/x");
        endpoints.last().listener.failed(true, "reset");
        assertThat(endpoints.sent).hasSize(1);
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.ENDPOINT_LOST);
        assertThat(caller.refusal.reason().notRun()).isFalse();
    }

    /**
     * An endpoint that ran a request may answer with a status that promises the opposite. Its caller would repeat the
     * request, so that the status must not be passed on.
     */
    @Test
    void aRequestThatRanIsNotReportedAsNotRunByTheStatusOfItsEndpoint() {
        for (int status : List.of(408, 429, 503)) {
            for (String path : List.of("/once/x", "/stream/x")) {
                FakeExchange each = new FakeExchange();
                RequestFlow.serve(context, GatewayFixture.request("a" + status + path, "POST", path, "k", 2_000), each);
                int sends = endpoints.sent.size();
                endpoints.last().answer(status, "failed");
                assertThat(each.refusal.reason()).isEqualTo(RefusalReason.ENDPOINT_LOST);
                assertThat(each.body.toString()).isEmpty();
                assertThat(endpoints.sent).hasSize(sends);
            }
        }
    }

    /** A request that was not sent because no connection could be opened must be retried, not reported as lost. */
    @Test
    void aRequestThatWasNeverSentGoesToAnotherEndpoint() {
        send("/once/x");
        endpoints.last().listener.failed(false, "refused");
        assertThat(endpoints.sent).hasSize(2);
    }

    /** The number of attempts must not exceed the maximum of the route. */
    @Test
    void retriesAtMostAsOftenAsTheRouteAllows() {
        send("/safe/x");
        endpoints.last().listener.failed(true, "reset");
        endpoints.last().listener.failed(true, "reset");
        assertThat(endpoints.sent).hasSize(2);
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.ENDPOINT_LOST);
    }

    /** A response to another attempt, or a success without a signature, must not reach the caller. */
    @Test
    void anAnswerWithoutSignatureOrToAnotherAttemptIsNotPassedOn() {
        send("/safe/x");
        endpoints.last().head(200, false, false);
        assertThat(endpoints.sent).hasSize(2);
        endpoints
                .last()
                .listener
                .head(new ResponseHead(200, List.of(), "other", true, false, OptionalDouble.empty(), false));
        assertThat(caller.status).isEqualTo(0);
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.ENDPOINT_LOST);
    }

    /** A late response to an abandoned attempt must not be mixed with the response to the current attempt. */
    @Test
    void aLateResponseOfAnEarlierEndpointIsIgnored() {
        send("/safe/x");
        FakeEndpoints.Sent first = endpoints.last();
        first.listener.failed(true, "reset");
        first.answer(200, "late");
        assertThat(caller.ended).isFalse();
        endpoints.last().answer(200, "right");
        assertThat(caller.body.toString()).isEqualTo("right");
    }

    /** A stream that fails and may not be resumed must be reset, or it would appear complete to the caller. */
    @Test
    void aStreamThatMayNotBeRepeatedIsReset() {
        send("/stream/x");
        endpoints.last().head(200, true, false);
        endpoints.last().event(1);
        endpoints.last().listener.failed(true, "reset");
        assertThat(caller.body.toString()).isEqualTo(EVENT_1);
        assertThat(caller.reset).isTrue();
        assertThat(caller.ended).isFalse();
    }

    /**
     * When a stream breaks within an event and is resumed at another endpoint, no event may be missing or duplicated.
     */
    @Test
    void aResumableStreamContinuesAfterTheLastCompleteEvent() {
        send("/resume/x");
        endpoints.last().head(200, true, false);
        endpoints.last().event(1);
        endpoints.last().data("id: 2\ndata: hal");
        endpoints.last().listener.failed(true, "reset");
        assertThat(endpoints.last().request.lastEventId()).isEqualTo(1);
        endpoints.last().head(200, true, false);
        endpoints.last().event(2);
        endpoints.last().listener.end();
        assertThat(caller.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(caller.ended).isTrue();
    }

    /** A stream that ends normally inside an event must not be treated as complete. */
    @Test
    void aStreamThatEndsInsideAnEventIsNotComplete() {
        send("/stream/x");
        endpoints.last().head(200, true, false);
        endpoints.last().event(1);
        endpoints.last().data("id: 2\nda");
        endpoints.last().listener.end();
        assertThat(caller.ended).isFalse();
        assertThat(caller.reset).isTrue();
    }

    /**
     * An endpoint at which a stream is resumed fails. Its error body must not follow the events of the first endpoint,
     * and the stream must not end as complete.
     */
    @Test
    void aStreamIsResetIfTheLastEndpointFailsToResumeIt() {
        for (int status : List.of(500, 404)) {
            FakeExchange each = new FakeExchange();
            RequestFlow.serve(context, GatewayFixture.request("a" + status, "POST", "/resume/x", "k", 2_000), each);
            endpoints.last().head(200, true, false);
            endpoints.last().event(1);
            endpoints.last().listener.failed(true, "reset");
            endpoints.last().answer(status, "the endpoint failed");
            assertThat(each.body.toString()).isEqualTo(EVENT_1);
            assertThat(each.reset).isTrue();
            assertThat(each.ended).isFalse();
        }
    }

    /** A stream that has begun goes on at a further endpoint after one has failed, while attempts are left. */
    @Test
    void aStreamSkipsAnEndpointThatFailsToResumeIt() {
        send("/resume3/x");
        endpoints.last().head(200, true, false);
        endpoints.last().event(1);
        endpoints.last().listener.failed(true, "reset");
        endpoints.last().answer(404, "unknown");
        endpoints.last().head(200, true, false);
        endpoints.last().event(2);
        endpoints.last().listener.end();
        assertThat(endpoints.sent).hasSize(3);
        assertThat(caller.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(caller.ended).isTrue();
    }

    /**
     * When the caller disconnects, the request to the endpoint must be cancelled, and a late response must be ignored.
     */
    @Test
    void aDisconnectCancelsTheRequest() {
        send("/safe/x");
        caller.disconnectAction.run();
        assertThat(endpoints.last().cancelled).isTrue();
        assertThat(context.activeRequests()).isEmpty();
        endpoints.last().answer(200, "late");
        assertThat(caller.ended).isFalse();
    }

    /** A request must end at its deadline, and must not be refused as "not run" if it was sent. */
    @Test
    void aRequestEndsAtItsDeadline() throws InterruptedException {
        send("/once/x", "k", 1_000);
        assertThat(caller.refused.await(2, TimeUnit.SECONDS)).isTrue();
        assertThat(endpoints.last().ended.await(1, TimeUnit.SECONDS)).isTrue();
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.DEADLINE_EXCEEDED);
        assertThat(endpoints.last().cancelled).isTrue();
    }

    /** A slow endpoint to which there is no alternative must not be given up: its response may come in time. */
    @Test
    void aLateFirstByteOfTheOnlyEndpointIsPassedOn() throws InterruptedException {
        send("/safe/x", "k", 3_000);
        gateway.leaveOnly(endpoints.last().request.instance());
        assertThat(caller.refused.await(1_200, TimeUnit.MILLISECONDS)).isFalse();
        endpoints.last().answer(200, "late");
        assertThat(caller.body.toString()).isEqualTo("late");
        assertThat(endpoints.sent).hasSize(1);
    }

    /** An alternative that appears late must not end an attempt that is about to respond. */
    @Test
    void aLateAlternativeDoesNotEndASlowAttempt() throws InterruptedException {
        send("/safe/x", "k", 2_000);
        gateway.leaveOnly(endpoints.last().request.instance());
        assertThat(caller.refused.await(900, TimeUnit.MILLISECONDS)).isFalse();
        gateway.join("d");
        assertThat(caller.refused.await(500, TimeUnit.MILLISECONDS)).isFalse();
        assertThat(endpoints.sent).hasSize(1);
        endpoints.last().answer(200, "late");
        assertThat(caller.body.toString()).isEqualTo("late");
    }

    /** A request must be refused at once when all endpoints are full, not only at its deadline. */
    @Test
    void isRefusedAtOnceWhenAllEndpointsAreFull() {
        send("/once/x");
        endpoints.last().reject();
        endpoints.last().reject();
        endpoints.last().reject();
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.ENDPOINT_OVERLOADED);
        assertThat(caller.refusal.retryAfterMillis()).isGreaterThan(0L);
        assertThat(caller.refusal.reason().notRun()).isTrue();
    }

    /** Many requests that arrive together, for example after a freeze of the VM, must not exhaust the heap. */
    @Test
    void refusesRequestsOverItsMemoryLimit() {
        for (int i = 0; i < GatewayFixture.MAX_ACTIVE; i++) {
            RequestFlow.serve(context, GatewayFixture.safe("f" + i), new FakeExchange());
        }
        assertThat(endpoints.sent).hasSize(GatewayFixture.MAX_ACTIVE);
        RequestFlow.serve(context, GatewayFixture.safe("more"), caller);
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.ENTRY_OVERLOADED);
        assertThat(caller.refusal.reason().notRun()).isTrue();
        assertThat(endpoints.sent).hasSize(GatewayFixture.MAX_ACTIVE);
        endpoints.last().answer(200, "done");
        FakeExchange next = new FakeExchange();
        RequestFlow.serve(context, GatewayFixture.safe("next"), next);
        assertThat(next.refusal).isNull();
    }

    /** An endpoint incarnation that responds with 421 has been replaced at its address and must not be chosen again. */
    @Test
    void aReplacedIncarnationIsNotChosenAgain() {
        send("/once/x");
        String wrong = endpoints.last().request.instance();
        endpoints.last().head(421, false, true);
        endpoints.last().answer(200, "done");
        for (int i = 0; i < 10; i++) {
            RequestFlow.serve(context, GatewayFixture.safe("n" + i), new FakeExchange());
            assertThat(endpoints.last().request.instance()).isNotEqualTo(wrong);
        }
    }

    /**
     * A copy of an earlier rejection must not be taken for the response to this request, which may run: it is neither
     * sent again nor refused as "not run".
     */
    @Test
    void ignoresTheStatementOfACopyThatTheRequestDidNotRun() {
        send("/once/x");
        endpoints
                .last()
                .listener
                .head(new ResponseHead(503, List.of(), "earlier", false, true, OptionalDouble.empty(), false));
        assertThat(endpoints.sent).hasSize(1);
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.ENDPOINT_LOST);
    }

    /** Responses without end must not occupy more memory than all responses together may. */
    @Test
    void endsAResponseThatExceedsTheCommonMemory() {
        send("/once/x");
        endpoints.last().head(200, true, false);
        for (int i = 0; i < 11 && caller.refusal == null; i++) {
            endpoints.last().data("x".repeat(10_000));
        }
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.ENDPOINT_LOST);
        assertThat(endpoints.last().cancelled).isTrue();
        assertThat(context.responseMemory().usedBytes()).isEqualTo(0);
    }

    private String endpointOf(String path, List<String> affinity) {
        FakeExchange exchange = new FakeExchange();
        RequestFlow.serve(context, GatewayFixture.request("k", "GET", path, "k", 2_000, affinity), exchange);
        exchange.disconnectAction.run();
        return endpoints.last().request.instance();
    }

    /** Requests that concern the same object go to the same endpoint on sticky routes, and objects are spread. */
    @Test
    void sendsRequestsOnTheSameObjectToOneEndpoint() {
        Set<String> homes = new HashSet<>();
        for (int object = 0; object < 30; object++) {
            String home = endpointOf("/sticky/x", List.of("object" + object));
            homes.add(home);
            assertThat(endpointOf("/sticky/x", List.of("object" + object))).isEqualTo(home);
        }
        assertThat(homes).containsExactly("a", "b", "c");
    }

    /** An invalid key is ignored and counted; the request is served. */
    @Test
    void ignoresAnInvalidAffinityKey() {
        endpointOf("/sticky/x", List.of("a", "b"));
        endpointOf("/sticky/x", List.of(""));
        assertThat(gateway.metrics.counter("gateway.affinity_ignored").getCount())
                .isEqualTo(2);
        assertThat(endpoints.sent).hasSize(2);
    }

    /** A request that a stopping entry accepts late must be answered before the process ends and cuts it off. */
    @Test
    void isAnsweredBeforeTheEntryStops() throws InterruptedException {
        context.stopMillis(GatewayNode.nowMillis() + 900);
        send("/once/x");
        assertThat(endpoints.sent).hasSize(1);
        assertThat(caller.refused.await(2, TimeUnit.SECONDS)).isTrue();
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.DEADLINE_EXCEEDED);
        context.stopMillis(GatewayNode.nowMillis() + 200);
        FakeExchange late = new FakeExchange();
        RequestFlow.serve(context, GatewayFixture.request("late", "POST", "/once/x", "k", 2_000), late);
        assertThat(late.refused.await(1, TimeUnit.SECONDS)).isTrue();
        assertThat(late.refusal.reason()).isEqualTo(RefusalReason.SHUTTING_DOWN);
        assertThat(late.refusal.reason().notRun()).isTrue();
        assertThat(endpoints.sent).hasSize(1);
    }

    /**
     * A request on a connection that its caller has kept open arrives late in a stop. It is refused as not run if its
     * time limit ends after the stop, and served if not. One whose head arrived earlier is served.
     */
    @Test
    void refusesLateRequestsThatMayOutlastTheStop() {
        long now = GatewayNode.nowMillis();
        context.stopMillis(now + 1_500);
        context.lateMillis(now + 60_000);
        send("/stream/x");
        context.lateMillis(now);
        FakeExchange late = new FakeExchange();
        RequestFlow.serve(context, GatewayFixture.request("late", "POST", "/stream/x", "k", 2_000), late);
        RequestFlow.serve(
                context, GatewayFixture.request("short", "POST", "/stream/x", "k", 1_000), new FakeExchange());
        assertThat(late.refusal.reason()).isEqualTo(RefusalReason.SHUTTING_DOWN);
        assertThat(endpoints.sent.stream().map(each -> each.request.caller().attempt()))
                .containsExactly("attempt", "short");
    }

    /** A request that outlasts the stop is answered by what is true: it may have run, or it has not. */
    @Test
    void isAnsweredWhenTheProcessStops() {
        send("/once/x");
        context.activeRequests().forEach(RequestScope::stop);
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.DEADLINE_EXCEEDED);
        FakeExchange waiting = new FakeExchange();
        new RequestScope(context, GatewayFixture.safe("waiting"), waiting);
        context.activeRequests().forEach(RequestScope::stop);
        assertThat(waiting.refusal.reason()).isEqualTo(RefusalReason.SHUTTING_DOWN);
        assertThat(context.activeRequests()).isEmpty();
    }

    /**
     * While the client sends one request it may write another that has waited for a connection. If that took the lock
     * of the other request, two threads that send could wait for each other for ever.
     */
    @Test
    void theReportThatARequestIsWrittenWaitsForNoLock() throws Exception {
        CallerRequest request = GatewayFixture.safe("attempt");
        RequestScope scope = new RequestScope(context, request, caller);
        EndpointAttempts.start(
                scope,
                Admission.admit(request, context.site()),
                new byte[0],
                EndpointAttempts.NO_TURN,
                StreamVersions.any());
        Thread writer = new Thread(() -> endpoints.last().listener.written(1_000));
        synchronized (scope) {
            writer.start();
            writer.join(5_000);
            assertThat(writer.isAlive()).isFalse();
        }
    }
}
