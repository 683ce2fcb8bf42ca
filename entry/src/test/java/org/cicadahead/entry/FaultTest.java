package org.cicadahead.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.AbandonStep;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.ClaimOutcome;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.NotLeader;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.PoisonEntry;
import org.cicadahead.protocol.PoisonTable;
import org.cicadahead.protocol.ReleaseClaim;
import org.cicadahead.protocol.RenewSteps;
import org.cicadahead.protocol.RunChunk;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.StepOutcome;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.protocol.StepsRenewed;
import org.cicadahead.protocol.Sync;
import org.cicadahead.wire.Responder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the responses, in particular their not_run, when control or an endpoint fails at any stage of a request. */
class FaultTest {
    private static final String[] STEP = {"Cicadahead-Program", "p", "Cicadahead-Step", "1"};
    private EntryFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new EntryFixture();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** The behaviour of the engine, the refusal that the caller gets, and the number of runs. */
    static Stream<Arguments> engineFaults() {
        return Stream.of(
                fault(
                        "refuses before the run",
                        RefusalReason.ENDPOINT_OVERLOADED,
                        true,
                        4,
                        (run, responder) ->
                                responder.reply(FakeEndpoint.refused(run, RefusalReason.ENDPOINT_OVERLOADED, true))),
                fault(
                        "fails during the run",
                        RefusalReason.ENDPOINT_FAILED,
                        false,
                        1,
                        (run, responder) ->
                                responder.reply(FakeEndpoint.refused(run, RefusalReason.ENDPOINT_FAILED, false))),
                fault(
                        "refuses as poisonous",
                        RefusalReason.REQUEST_POISONOUS,
                        true,
                        1,
                        (run, responder) ->
                                responder.reply(FakeEndpoint.refused(run, RefusalReason.REQUEST_POISONOUS, true))),
                fault(
                        "closes without a response",
                        RefusalReason.ENDPOINT_LOST,
                        false,
                        4,
                        (run, responder) -> responder.fail("broken")),
                fault(
                        "reports more chunks than it sent",
                        RefusalReason.ANSWER_INCOMPLETE,
                        false,
                        4,
                        (run, responder) -> responder.reply(FakeEndpoint.end(run, 3))),
                fault("omits a chunk", RefusalReason.ANSWER_INCOMPLETE, false, 4, (run, responder) -> {
                    responder.part(FakeEndpoint.chunk(run, 1, "x"));
                    responder.reply(FakeEndpoint.end(run, 2));
                }),
                fault("misses the deadline", RefusalReason.DEADLINE_EXCEEDED, false, 1, (run, responder) -> {}));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("engineFaults")
    void engineFaultIsRetriedThenRefusedWithCorrectNotRun(
            String name, RefusalReason reason, boolean notRun, int calls, FakeEndpoint.Behaviour behaviour)
            throws Exception {
        fixture.engine.behaviour = behaviour;
        for (String[] headers : List.of(new String[0], STEP)) {
            fixture.engine.runs.clear();
            long before = fixture.refusals(reason.code());
            assertRefused(fixture.chat(EntryFixture.chat("short", true, "Hi"), headers), reason, notRun);
            assertThat(fixture.engine.runs).hasSize(calls);
            assertThat(fixture.refusals(reason.code())).isEqualTo(before + 1);
        }
        EntryFixture.await(() -> fixture.control.received(AbandonStep.class).size() == 1);
    }

    @Test
    void failedRunIsRetriedAloneOnAnotherEndpoint() throws Exception {
        try (FakeEndpoint second = new FakeEndpoint("e2")) {
            fixture.control.announce(second.announcement(EndpointKind.ENGINE, "engines"));
            AtomicInteger calls = new AtomicInteger();
            FakeEndpoint.Behaviour failsOnce = (run, responder) -> {
                if (calls.getAndIncrement() == 0) {
                    responder.reply(FakeEndpoint.refused(run, RefusalReason.ENDPOINT_FAILED, false));
                } else {
                    FakeEndpoint.respond(run, responder);
                }
            };
            fixture.engine.behaviour = failsOnce;
            second.behaviour = failsOnce;
            awaitSyncs();
            HttpResponse<String> response = fixture.chat(EntryFixture.chat("plan", true, "Hi"), STEP);
            assertThat(response.body()).endsWith("[DONE]\n\n");
            assertThat(fixture.engine.runs).hasSize(1);
            assertThat(second.runs).hasSize(1);
            boolean firstWasEngine = !fixture.engine.runs.get(0).alone();
            assertThat((firstWasEngine ? second : fixture.engine).runs.get(0).alone())
                    .isTrue();
            assertThat(fixture.metrics.counter("retries.endpoint_failed").getCount())
                    .isEqualTo(1);
        }
    }

    @Test
    void duplicateAndForeignChunksAreDropped() throws Exception {
        fixture.engine.behaviour = (run, responder) -> {
            responder.part(FakeEndpoint.chunk(run, 0, FakeEndpoint.event("Hel")));
            responder.part(FakeEndpoint.chunk(run, 0, FakeEndpoint.event("Hel")));
            responder.part(new RunChunk(
                    RunId.of("foreign"), 1, FakeEndpoint.event("theirs").getBytes()));
            responder.part(FakeEndpoint.chunk(run, 1, FakeEndpoint.event("lo")));
            responder.reply(FakeEndpoint.end(run, 2));
        };
        HttpResponse<String> response = fixture.chat(EntryFixture.chat("plan", true, "Hi"));
        assertThat(response.body())
                .isEqualTo(FakeEndpoint.event("Hel") + FakeEndpoint.event("lo") + "data: [DONE]\n\n");
        assertThat(fixture.metrics.counter("entry.chunks_dropped").getCount()).isEqualTo(2);
    }

    @Test
    void missingChunkEndsAStreamWithAnErrorAndWithoutARetry() throws Exception {
        fixture.engine.behaviour = (run, responder) -> {
            responder.part(FakeEndpoint.chunk(run, 0, FakeEndpoint.event("Hel")));
            responder.part(FakeEndpoint.chunk(run, 2, FakeEndpoint.event("lost")));
        };
        HttpResponse<String> response = fixture.chat(EntryFixture.chat("plan", true, "Hi"), STEP);
        assertThat(response.body()).startsWith(FakeEndpoint.event("Hel") + "event: error\n");
        assertThat(response.body()).contains("\"reason\":\"answer_incomplete\",\"not_run\":false");
        assertThat(response.body()).doesNotContain("[DONE]");
        assertThat(fixture.engine.runs).hasSize(1);
        assertThat(fixture.control.received(FinishStep.class)).isEmpty();
    }

    @Test
    void lossOfTheOnlyEndpointIsReportedWithCorrectNotRun() throws Exception {
        fixture.engine.behaviour = (run, responder) -> {
            responder.part(FakeEndpoint.chunk(run, 0, FakeEndpoint.event("Hel")));
            fixture.engine.close();
        };
        HttpResponse<String> duringRun = fixture.chat(EntryFixture.chat("plan", true, "Hi"));
        assertThat(duringRun.body()).contains("\"reason\":\"endpoint_lost\",\"not_run\":false");
        assertRefused(fixture.chat(EntryFixture.chat("plan", true, "Hi")), RefusalReason.ENDPOINT_LOST, true);
        assertThat(fixture.engine.runs).hasSize(1);
    }

    /** Tests each outcome of BeginStep that refuses the step: the caller gets the refusal, and nothing runs. */
    @ParameterizedTest
    @EnumSource(
            value = StepOutcome.class,
            names = {"GRANTED", "REPLAYED"},
            mode = EnumSource.Mode.EXCLUDE)
    void stepThatIsNotGrantedIsRefused(StepOutcome outcome) throws Exception {
        fixture.control.fault(
                BeginStep.class, (request, responder) -> responder.reply(new StepReply(outcome, 0, 3, List.of(), 0)));
        assertRefused(
                fixture.chat(EntryFixture.chat("plan", false, "Hi"), STEP),
                outcome.refusal().orElseThrow(),
                true);
        assertThat(fixture.engine.runs).isEmpty();
    }

    @Test
    void requestIsNotRunWhenControlHasNoLeader() throws Exception {
        fixture.control.fault(BeginStep.class, (request, responder) -> responder.reply(new NotLeader("")));
        assertRefused(
                fixture.chat(EntryFixture.chat("plan", false, "Hi"), STEP), RefusalReason.CONTROL_UNAVAILABLE, true);
        assertThat(fixture.engine.runs).isEmpty();
    }

    @Test
    void requestIsServedWhenTheLeaderReturnsInTime() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        fixture.control.fault(
                BeginStep.class,
                (request, responder) -> responder.reply(
                        calls.getAndIncrement() < 3 ? new NotLeader("") : fixture.control.reply(request)));
        assertThat(fixture.chat(EntryFixture.chat("plan", false, "Hi"), STEP).statusCode())
                .isEqualTo(200);
    }

    @Test
    void responseIsNotCompletedIfTheFinishIsRefused() throws Exception {
        fixture.control.fault(
                FinishStep.class, (request, responder) -> responder.reply(Done.refused("the fencing token is old")));
        HttpResponse<String> stream = fixture.chat(EntryFixture.chat("plan", true, "Hi"), STEP);
        assertThat(stream.body()).contains("\"reason\":\"step_fenced\",\"not_run\":false");
        assertThat(stream.body()).doesNotContain("[DONE]");
        assertRefused(fixture.chat(EntryFixture.chat("plan", false, "Hi"), STEP), RefusalReason.STEP_FENCED, false);
    }

    @Test
    void responseIsCompletedOnlyAfterTheFinishIsCommitted() throws Exception {
        CompletableFuture<Responder> finish = new CompletableFuture<>();
        fixture.control.fault(FinishStep.class, (request, responder) -> finish.complete(responder));
        CompletableFuture<HttpResponse<String>> response =
                runAsync(() -> fixture.chat(EntryFixture.chat("plan", false, "Hi"), STEP));
        Responder responder = finish.get();
        assertThat(response.isDone()).isFalse();
        responder.reply(Done.ok());
        assertThat(response.get().statusCode()).isEqualTo(200);
    }

    @Test
    void runOfAStepTakenOverByAnotherAttemptIsCancelled() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        fixture.engine.behaviour = (run, responder) -> responder.onCancel(() -> cancelled.complete(null));
        fixture.control.fault(
                RenewSteps.class,
                (request, responder) -> responder.reply(new StepsRenewed(((RenewSteps) request).steps())));
        assertRefused(fixture.chat(EntryFixture.chat("plan", false, "Hi"), STEP), RefusalReason.STEP_FENCED, false);
        cancelled.get();
    }

    @Test
    void revocationOfTheKeyEndsARunningStream() throws Exception {
        CompletableFuture<Void> cancelled = streamUntilCancelled();
        CompletableFuture<HttpResponse<String>> response =
                runAsync(() -> fixture.chat(EntryFixture.chat("plan", true, "Hi")));
        EntryFixture.await(() -> fixture.engine.runs.size() == 1);
        fixture.control.delete(fixture.key);
        assertThat(response.get().body()).contains("\"reason\":\"key_revoked\",\"not_run\":false");
        cancelled.get();
        assertRefused(fixture.chat(EntryFixture.chat("plan", true, "Hi")), RefusalReason.KEY_INVALID, true);
    }

    @Test
    void expiredLeaseEndsStreamsAndRefusesNewRequests() throws Exception {
        CompletableFuture<Void> cancelled = streamUntilCancelled();
        CompletableFuture<HttpResponse<String>> response =
                runAsync(() -> fixture.chat(EntryFixture.chat("plan", true, "Hi")));
        EntryFixture.await(() -> fixture.engine.runs.size() == 1);
        fixture.control.fault(Sync.class, (request, responder) -> {});
        assertThat(response.get().body()).contains("\"reason\":\"configuration_lease_expired\",\"not_run\":false");
        cancelled.get();
        RefusalReason expired = RefusalReason.CONFIGURATION_LEASE_EXPIRED;
        assertRefused(fixture.chat(EntryFixture.chat("plan", true, "Hi")), expired, true);
        assertThat(fixture.entry.isReady()).isFalse();
        fixture.control.clearFault(Sync.class);
        EntryFixture.await(fixture.entry::isReady);
    }

    @Test
    void rateRefusalsHaveDistinctReasons() throws Exception {
        for (boolean withinRate : new boolean[] {false, true}) {
            RefusalReason reason = withinRate ? RefusalReason.RATE_GRANT_UNAVAILABLE : RefusalReason.RATE_LIMITED;
            fixture.control.fault(
                    GrantRequest.class,
                    (request, responder) -> responder.reply(
                            new GrantReply(1_000, List.of(new Grant(EntryFixture.ORG, "", 0, 5_000, withinRate)))));
            HttpResponse<String> response = fixture.chat(EntryFixture.chat("plan", false, "Hi"));
            assertRefused(response, reason, true);
            assertThat(Integer.parseInt(
                            response.headers().firstValue("Retry-After").orElseThrow()))
                    .isAtLeast(1);
        }
        assertThat(fixture.engine.runs).isEmpty();
    }

    @Test
    void poisonousRequestIsRefusedAndASuspectRunsAloneElsewhere() throws Exception {
        fixture.chat(EntryFixture.chat("plan", false, "Hi"));
        RunRequest run = fixture.engine.runs.get(0);
        long until = System.currentTimeMillis() + 600_000;
        Set<EndpointId> crashed = Set.of(EndpointId.of("e0"));
        poison(1, new PoisonEntry(run.digest(), false, crashed, until));
        EntryFixture.await(() -> sendAndGetRun("Hi").alone());
        poison(2, new PoisonEntry(run.digest(), true, crashed, until));
        EntryFixture.await(() -> fixture.refusals("request_poisonous") > 0 || sendAndGetRun("Hi") == null);
        HttpResponse<String> response = fixture.chat(EntryFixture.chat("plan", false, "Hi"), STEP);
        assertRefused(response, RefusalReason.REQUEST_POISONOUS, true);
        assertThat(fixture.chat(EntryFixture.chat("plan", false, "other")).statusCode())
                .isEqualTo(200);
    }

    /** The failure of a claimed run, the state of the claim at control, and the refusal that the caller gets. */
    static Stream<Arguments> claimFaults() {
        return Stream.of(
                claim("endpoint refuses", true, true, ClaimOutcome.GRANTED, RefusalReason.ENDPOINT_OVERLOADED, true, 4),
                claim("never started", false, true, ClaimOutcome.GRANTED, RefusalReason.ENDPOINT_LOST, true, 4),
                claim("outcome unknown", false, false, ClaimOutcome.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN, false, 1),
                claim("still running", false, false, ClaimOutcome.RUNNING, RefusalReason.DEADLINE_EXCEEDED, false, 1),
                claim("has run", false, false, ClaimOutcome.DONE, null, false, 1));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("claimFaults")
    void outcomeOfAClaimedRunIsLookedUpAtControl(
            String name,
            boolean refuses,
            boolean released,
            ClaimOutcome outcome,
            RefusalReason reason,
            boolean notRun,
            int calls)
            throws Exception {
        fixture.control.put(EntryFixture.route("book", "services", EndpointKind.SERVICE, Set.of(), false, 1_500));
        awaitSyncs();
        fixture.service.behaviour = (run, responder) -> {
            if (refuses) {
                responder.reply(FakeEndpoint.refused(run, RefusalReason.ENDPOINT_OVERLOADED, true));
            } else {
                responder.fail("broken");
            }
        };
        fixture.control.fault(
                ReleaseClaim.class,
                (request, responder) -> responder.reply(released ? Done.ok() : Done.refused("started")));
        AtomicInteger begun = new AtomicInteger();
        Outcome recorded = new Outcome(201, "text/plain", "done".getBytes(), EndpointId.of("s1"));
        fixture.control.fault(
                BeginClaim.class,
                (request, responder) -> responder.reply(new ClaimReply(
                        begun.getAndIncrement() == 0 ? ClaimOutcome.GRANTED : outcome,
                        begun.get(),
                        outcome == ClaimOutcome.DONE && begun.get() > 1 ? recorded : null)));
        HttpResponse<String> response = fixture.book("k1");
        if (reason == null) {
            assertThat(response.statusCode()).isEqualTo(201);
            assertThat(response.body()).isEqualTo("done");
        } else {
            assertRefused(response, reason, notRun);
        }
        List<Long> fences =
                fixture.service.runs.stream().map(run -> run.claim().fence()).toList();
        assertWithMessage("each run has its own fencing token").that(fences).containsNoDuplicates();
        assertThat(fences).hasSize(calls);
    }

    @Test
    void pendingClaimIsRenewedUntilItsRunEnds() throws Exception {
        // Control lets another attempt take over a pending claim that was not renewed for 3 s.
        CountDownLatch renewed = new CountDownLatch(2);
        fixture.control.fault(BeginClaim.class, (request, responder) -> {
            renewed.countDown();
            responder.reply(new ClaimReply(ClaimOutcome.GRANTED, 7, null));
        });
        fixture.service.behaviour = (run, responder) -> new Thread(() -> {
                    try {
                        renewed.await(10, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    responder.reply(FakeEndpoint.refused(run, RefusalReason.REQUEST_MALFORMED, true));
                })
                .start();
        fixture.book("k-renewed");
        List<BeginClaim> begun = fixture.control.received(BeginClaim.class);
        assertThat(begun.size()).isAtLeast(2);
        assertThat(begun.get(1)).isEqualTo(begun.get(0));
    }

    /** Without a reply, an earlier attempt with the same idempotency key may have run. */
    @Test
    void requestMayHaveRunIfControlDoesNotReplyToItsClaim() throws Exception {
        fixture.control.fault(BeginClaim.class, (request, responder) -> {});
        assertRefused(fixture.book("k1"), RefusalReason.OUTCOME_UNCONFIRMED, false);
        assertThat(fixture.service.runs).isEmpty();
    }

    /** The endpoint reports that it did not run the request, but control has recorded the start of a run. */
    @Test
    void requestMayHaveRunIfItsClaimCannotBeReleased() throws Exception {
        fixture.service.behaviour =
                (run, responder) -> responder.reply(FakeEndpoint.refused(run, RefusalReason.REQUEST_POISONOUS, true));
        fixture.control.fault(ReleaseClaim.class, (request, responder) -> responder.reply(Done.refused("started")));
        assertRefused(fixture.book("k1"), RefusalReason.REQUEST_POISONOUS, false);
    }

    @Test
    void recordedOutcomeIsReplayedWithoutARun() throws Exception {
        fixture.control.outcome(
                ClaimKey.of(EntryFixture.ORG, IdempotencyKey.of("k1")),
                new Outcome(200, "text/plain", "before".getBytes(), EndpointId.of("s1")));
        assertThat(fixture.book("k1").body()).isEqualTo("before");
        assertThat(fixture.service.runs).isEmpty();
    }

    private static Arguments fault(
            String name, RefusalReason reason, boolean notRun, int calls, FakeEndpoint.Behaviour behaviour) {
        return Arguments.of(name, reason, notRun, calls, behaviour);
    }

    private static Arguments claim(
            String name,
            boolean refuses,
            boolean released,
            ClaimOutcome outcome,
            RefusalReason reason,
            boolean notRun,
            int calls) {
        return Arguments.of(name, refuses, released, outcome, reason, notRun, calls);
    }

    private static void assertRefused(HttpResponse<String> response, RefusalReason reason, boolean notRun)
            throws Exception {
        JsonNode problem = EntryFixture.json(response);
        assertThat(problem.path("reason").asText()).isEqualTo(reason.code());
        assertThat(response.statusCode()).isEqualTo(reason.status());
        assertThat(problem.path("not_run").asBoolean()).isEqualTo(notRun);
        assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
    }

    private CompletableFuture<Void> streamUntilCancelled() {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        fixture.engine.behaviour = (run, responder) -> {
            responder.part(FakeEndpoint.chunk(run, 0, FakeEndpoint.event("Hel")));
            responder.onCancel(() -> cancelled.complete(null));
        };
        return cancelled;
    }

    private static <T> CompletableFuture<T> runAsync(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    /** Sends a request and returns its run request, or null if the request was refused. */
    private RunRequest sendAndGetRun(String content) {
        int before = fixture.engine.runs.size();
        try {
            fixture.chat(EntryFixture.chat("plan", false, content));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        List<RunRequest> runs = fixture.engine.runs;
        return runs.size() == before ? null : runs.get(runs.size() - 1);
    }

    private void poison(long version, PoisonEntry entry) {
        fixture.control.poison(new PoisonTable(version, List.of(entry)));
    }

    /** Waits for two more syncs, after which the entry has the current resources and endpoints. */
    private void awaitSyncs() throws Exception {
        int syncs = fixture.control.received(Sync.class).size();
        EntryFixture.await(() -> fixture.control.received(Sync.class).size() >= syncs + 2);
    }
}
